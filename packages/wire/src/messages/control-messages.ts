import type {
  AdoptRequest,
  ClaimOutcome,
  ClaimRequest,
  ClusterConfiguration,
  ConfigurationChange,
  DispatcherIdentity,
  DispatcherRecord,
  JobId,
  LogIndex,
  Milliseconds,
  NetworkAddress,
  OwnershipEpoch,
  Publication,
  ReplicaId,
  Roster,
  RosterChanges,
  TargetAnnouncement,
  TargetId,
  TargetIdentity,
  TeamName,
} from '@cranberryturn/types';

/** The calls that dispatchers make to control. */
export enum ControlMethod {
  Claim = 'claim',
  Adopt = 'adopt',
  FinishClaims = 'finish-claims',
  RegisterDispatcher = 'register-dispatcher',
  RetireDispatcher = 'retire-dispatcher',
  RegisterTarget = 'register-target',
  RetireTarget = 'retire-target',
  Watch = 'watch',
}

/** A job that its owner has answered. */
export interface FinishedClaim {
  readonly team: TeamName;
  readonly jobId: JobId;
  readonly epoch: OwnershipEpoch;
}

/** A call from a dispatcher to control. */
export type ControlCall =
  | { readonly method: ControlMethod.Claim; readonly claim: ClaimRequest }
  | { readonly method: ControlMethod.Adopt; readonly adopt: AdoptRequest }
  | {
      readonly method: ControlMethod.FinishClaims;
      readonly finished: readonly FinishedClaim[];
    }
  | {
      readonly method: ControlMethod.RegisterDispatcher;
      readonly dispatcher: DispatcherRecord;
    }
  | {
      /** The run of the dispatcher is stopping and has answered all of its jobs. */
      readonly method: ControlMethod.RetireDispatcher;
      readonly dispatcher: DispatcherIdentity;
    }
  | {
      readonly method: ControlMethod.RegisterTarget;
      readonly target: TargetAnnouncement;
    }
  | {
      /** The run is gone for good: its process said so, or a later run replaced it. */
      readonly method: ControlMethod.RetireTarget;
      readonly target: TargetIdentity;
    }
  | {
      readonly method: ControlMethod.Watch;
      /** Version of the configuration that the caller already has. */
      readonly configurationVersion: number;
      readonly rosterVersion: number;
      /** Version of the publication that the caller already has. */
      readonly publicationVersion: number;
    };

/** How control answered a call. */
export enum ControlReplyKind {
  Claim = 'claim',
  Done = 'done',
  /** Nothing was done and nothing will be. */
  NotLeader = 'not-leader',
  /** The work may be done later. */
  Unknown = 'unknown',
}

/** The answer of control. */
export type ControlReply =
  | { readonly kind: ControlReplyKind.Claim; readonly outcome: ClaimOutcome }
  | { readonly kind: ControlReplyKind.Done; readonly index: LogIndex }
  | {
      readonly kind: ControlReplyKind.NotLeader;
      readonly leader?: ReplicaId | undefined;
    }
  | { readonly kind: ControlReplyKind.Unknown; readonly reason: string };

/** Age of the proof of a leader above which control feeds nobody, and followers leave a control host. */
export const maximumProofAge: Milliseconds = 1_500;

/** Silence after which control takes a run off the roster. */
export const registrationLease: Milliseconds = 15_000;

/** The kinds of notice from control to its followers. */
export enum ControlNoticeKind {
  Configuration = 'configuration',
  ConfigurationChanges = 'configuration-changes',
  Roster = 'roster',
  RosterChanges = 'roster-changes',
  Publication = 'publication',
  ControlHosts = 'control-hosts',
  Freshness = 'freshness',
}

/** A notice from control to a follower. */
export type ControlNotice =
  | {
      readonly kind: ControlNoticeKind.Configuration;
      readonly configuration: ClusterConfiguration;
    }
  | {
      /** Consecutive changes; the first one follows the version that the follower has. */
      readonly kind: ControlNoticeKind.ConfigurationChanges;
      readonly changes: readonly ConfigurationChange[];
    }
  | { readonly kind: ControlNoticeKind.Roster; readonly roster: Roster }
  | {
      readonly kind: ControlNoticeKind.RosterChanges;
      readonly changes: RosterChanges;
    }
  | {
      readonly kind: ControlNoticeKind.Publication;
      readonly publication: Publication;
    }
  | {
      /** The members of the replicated log, where they form the group by themselves. */
      readonly kind: ControlNoticeKind.ControlHosts;
      readonly addresses: readonly NetworkAddress[];
    }
  | {
      readonly kind: ControlNoticeKind.Freshness;
      /** Age of the proof that the leader still had its majority. */
      readonly proofAgeMilliseconds: Milliseconds;
      readonly configurationVersion: number;
      readonly leader?: ReplicaId | undefined;
    };

/** What a dispatcher tells the leader on its heartbeat, without an answer. */
export interface InForceReport {
  readonly dispatcher: DispatcherIdentity;
  /** Version of the configuration that the dispatcher has in force. */
  readonly configurationVersion: number;
  /** Sidecars served by this dispatcher that have not confirmed that version. */
  readonly targetsBehind: readonly TargetId[];
  /**
   * Registered runs of sidecars that this dispatcher has not heard for their lease.
   * Undefined when they are the same as in its last report over this connection.
   */
  readonly silentTargets?: readonly TargetIdentity[] | undefined;
}
