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

/** The kinds of message from a dispatcher to a sidecar. */
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

/** A dispatcher to dial. */
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
      /** Refuses every start of this job below the epoch, and asks for what is known of it. */
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
      /** Tasks wait at the dispatcher: report once, as soon as a slot is free. */
      readonly kind: ToTargetKind.AskForLoad;
    }
  | {
      /** The dispatchers that this target has sessions with from now on. */
      readonly kind: ToTargetKind.ApplySessions;
      /** An older version than that applied last is ignored. */
      readonly rosterVersion: number;
      readonly dispatchers: readonly DispatcherAddress[];
      /** Whether sessions with dispatchers that are not listed are left. */
      readonly leaveOthers: boolean;
    }
  | {
      /** A dispatcher outside the subset asks for a session for a while. */
      readonly kind: ToTargetKind.OpenSession;
      readonly dispatcher: DispatcherAddress;
    };

/** The kinds of message from a sidecar to a dispatcher. */
export enum FromTargetKind {
  Announce = 'announce',
  AttemptEnded = 'ended',
  LoadReport = 'load',
  JobEvidence = 'evidence',
  Left = 'left',
  SessionLeft = 'session-left',
}

/** What a sidecar run knows of a job after it was fenced. */
export interface JobEvidence {
  readonly jobId: JobId;
  readonly epoch: OwnershipEpoch;
  /** Attempts that ended here and are still kept. */
  readonly ended: readonly AttemptResult[];
  /** Attempts that are running here; their results follow. */
  readonly running: readonly AttemptKey[];
  /** Attempts that started here and whose answers were dropped. */
  readonly forgotten: readonly AttemptKey[];
  /** How far back this run remembers every start. */
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
      /** Version of the settings that this report confirms; undefined when it confirms none. */
      readonly settingsVersion?: ConfigurationVersion | undefined;
    }
  | {
      readonly kind: FromTargetKind.JobEvidence;
      readonly evidence: JobEvidence;
    }
  | {
      /** Planned stop: nothing runs here, and nothing will be started any more. */
      readonly kind: FromTargetKind.Left;
    }
  | {
      /** The target stays, but this session is closed next; nothing of the dispatcher runs here. */
      readonly kind: FromTargetKind.SessionLeft;
    };
