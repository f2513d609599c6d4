/** Messages about attempts, settings and sessions between dispatchers and the sidecars of targets. */
import type {
  AttemptKey,
  AttemptResult,
  AttemptStart,
  ConfigurationVersion,
  DispatcherId,
  JobId,
  Milliseconds,
  NetworkAddress,
  OwnershipEpoch,
  TargetAnnouncement,
  TargetLoad,
} from '@cranberryturn/types';

/** Kinds of message from a dispatcher to a sidecar. */
export enum ToTargetKind {
  StartAttempt = 'start',
  CancelAttempts = 'cancel',
  FenceJob = 'fence',
  ApplySettings = 'settings',
  AcknowledgeLeft = 'acknowledge-left',
  AskForLoad = 'ask-for-load',
  ApplySessions = 'sessions',
  OpenSession = 'open-session',
}

/** A dispatcher that a sidecar can dial. */
export interface DispatcherAddress {
  readonly dispatcherId: DispatcherId;
  readonly address: NetworkAddress;
}

/** A message from a dispatcher to a sidecar. */
export type ToTargetMessage =
  | {
      readonly kind: ToTargetKind.StartAttempt;
      readonly attempt: AttemptStart;
      readonly requestId?: string | undefined;
    }
  | {
      readonly kind: ToTargetKind.CancelAttempts;
      readonly attempts: readonly AttemptKey[];
      readonly reason: string;
    }
  | {
      /**
       * Fences the job: the sidecar refuses starts with a lower epoch and replies with its
       * evidence.
       */
      readonly kind: ToTargetKind.FenceJob;
      readonly jobId: JobId;
      readonly epoch: OwnershipEpoch;
    }
  | {
      readonly kind: ToTargetKind.ApplySettings;
      readonly version: ConfigurationVersion;
      readonly slots: number | undefined;
      readonly draining: boolean;
    }
  | { readonly kind: ToTargetKind.AcknowledgeLeft }
  | {
      /** Tasks are queued at the dispatcher; the sidecar reports once, as soon as a slot is free. */
      readonly kind: ToTargetKind.AskForLoad;
    }
  | {
      /** Replaces the set of dispatchers with which this target keeps sessions. */
      readonly kind: ToTargetKind.ApplySessions;
      /** Messages with an older version than the last one applied are ignored. */
      readonly rosterVersion: number;
      readonly dispatchers: readonly DispatcherAddress[];
      /** Whether the sidecar ends its sessions with dispatchers that are not listed. */
      readonly leaveOthers: boolean;
    }
  | {
      /** A dispatcher outside the subset of this target asks for a temporary session. */
      readonly kind: ToTargetKind.OpenSession;
      readonly dispatcher: DispatcherAddress;
    };

/** Kinds of message from a sidecar to a dispatcher. */
export enum FromTargetKind {
  Announce = 'announce',
  AttemptEnded = 'ended',
  LoadReport = 'load',
  JobEvidence = 'evidence',
  Left = 'left',
  SessionLeft = 'session-left',
}

/** Evidence of a sidecar run about a fenced job. */
export interface JobEvidence {
  readonly jobId: JobId;
  readonly epoch: OwnershipEpoch;
  /** Attempts that ended at this target and whose results are still kept. */
  readonly ended: readonly AttemptResult[];
  /** Attempts that are running at this target; their results follow. */
  readonly running: readonly AttemptKey[];
  /** Attempts that started at this target and whose answers were dropped. */
  readonly forgotten: readonly AttemptKey[];
  /** Period, back from now, for which this run remembers every start. */
  readonly rememberedMilliseconds: Milliseconds;
}

/** A message from a sidecar to a dispatcher. */
export type FromTargetMessage =
  | {
      readonly kind: FromTargetKind.Announce;
      readonly announcement: TargetAnnouncement;
      readonly load: TargetLoad;
    }
  | {
      readonly kind: FromTargetKind.AttemptEnded;
      readonly result: AttemptResult;
      readonly load: TargetLoad;
    }
  | {
      readonly kind: FromTargetKind.LoadReport;
      readonly load: TargetLoad;
      /** Version of the settings that this report confirms, if any. */
      readonly settingsVersion?: ConfigurationVersion | undefined;
    }
  | {
      readonly kind: FromTargetKind.JobEvidence;
      readonly evidence: JobEvidence;
    }
  | {
      /** Planned stop: no attempt is running at the target, and none will be started. */
      readonly kind: FromTargetKind.Left;
    }
  | {
      /** The target stays but ends this session; no attempt of the dispatcher is running there. */
      readonly kind: FromTargetKind.SessionLeft;
    };
