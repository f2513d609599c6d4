/** Messages between control and the processes that follow it. */
import type {
  AdoptRequest,
  ClaimOutcome,
  ClaimRequest,
  ClusterConfiguration,
  ConfigurationChange,
  DispatcherIdentity,
  DispatcherRecord,
  EvacuationState,
  EvacuationVersion,
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

/** Calls from dispatchers to control. */
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

/** The claim of a job whose result the owner has returned to the caller. */
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
      /** The run of the dispatcher is stopping and has returned the results of all its jobs. */
      readonly method: ControlMethod.RetireDispatcher;
      readonly dispatcher: DispatcherIdentity;
    }
  | {
      readonly method: ControlMethod.RegisterTarget;
      readonly target: TargetAnnouncement;
    }
  | {
      /**
       * The run of the target has ended permanently: announced by its process, or replaced by a later
       * run.
       */
      readonly method: ControlMethod.RetireTarget;
      readonly target: TargetIdentity;
    }
  | {
      readonly method: ControlMethod.Watch;
      /** Version of the configuration that the dispatcher already has. */
      readonly configurationVersion: number;
      readonly rosterVersion: number;
      /** Version of the publication that the dispatcher already has. */
      readonly publicationVersion: number;
      /** Version of the evacuation state that the dispatcher already has; undefined from earlier versions, which are sent none. */
      readonly evacuationVersion?: EvacuationVersion | undefined;
      /** Whether the dispatcher calls again for each proof. Dispatchers of earlier versions are sent proofs periodically. */
      readonly asksForProofs?: boolean | undefined;
      /** Whether to send only what has changed up to now, without the roster and the members. */
      readonly isOnce?: boolean | undefined;
    };

/** Kinds of reply to a control call. */
export enum ControlReplyKind {
  Claim = 'claim',
  Done = 'done',
  /** The call had no effect and never will have one. */
  NotLeader = 'not-leader',
  /** The outcome is unknown: the call may still take effect later. */
  Unknown = 'unknown',
}

/** A reply of control. */
export type ControlReply =
  | { readonly kind: ControlReplyKind.Claim; readonly outcome: ClaimOutcome }
  | { readonly kind: ControlReplyKind.Done; readonly index: LogIndex }
  | {
      readonly kind: ControlReplyKind.NotLeader;
      readonly leader?: ReplicaId | undefined;
    }
  | { readonly kind: ControlReplyKind.Unknown; readonly reason: string };

/** Time without a sign of life after which control removes a registered run from the roster. */
export const registrationLease: Milliseconds = 15_000;

/** Kinds of notice from control to its followers. */
export enum ControlNoticeKind {
  Configuration = 'configuration',
  ConfigurationChanges = 'configuration-changes',
  Roster = 'roster',
  RosterChanges = 'roster-changes',
  Publication = 'publication',
  ControlHosts = 'control-hosts',
  Evacuations = 'evacuations',
  Freshness = 'freshness',
}

/** A notice from control to a follower. */
export type ControlNotice =
  | {
      readonly kind: ControlNoticeKind.Configuration;
      readonly configuration: ClusterConfiguration;
    }
  | {
      /** Consecutive changes, starting right after the version that the follower has. */
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
      /**
       * Addresses of the members of the replicated log, sent where members form their group
       * automatically.
       */
      readonly kind: ControlNoticeKind.ControlHosts;
      readonly addresses: readonly NetworkAddress[];
    }
  | {
      readonly kind: ControlNoticeKind.Evacuations;
      readonly state: EvacuationState;
    }
  | {
      readonly kind: ControlNoticeKind.Freshness;
      /** Age of the last proof that the leader still had a majority. */
      readonly proofAgeMilliseconds: Milliseconds;
      readonly configurationVersion: number;
      readonly leader?: ReplicaId | undefined;
    };

/** One-way report that a dispatcher sends to the leader with each heartbeat. */
export interface InForceReport {
  readonly dispatcher: DispatcherIdentity;
  /** Version of the configuration that the dispatcher has in force. */
  readonly configurationVersion: number;
  /** Targets with a session to this dispatcher whose sidecars have not confirmed that version. */
  readonly targetsBehind: readonly TargetId[];
  /**
   * Registered runs of sidecars that this dispatcher has not heard from for the registration lease.
   * Undefined if unchanged since the last report over this connection.
   */
  readonly silentTargets?: readonly TargetIdentity[] | undefined;
}
