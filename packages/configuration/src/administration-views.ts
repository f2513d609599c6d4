/** Response bodies of the administration API. */
import type {
  ConfigurationChange,
  ConfigurationVersion,
  ControlHostConfiguration,
  EvacuationState,
  DispatcherId,
  Intent,
  LogIndex,
  Milliseconds,
  ReplicaId,
  ServiceConfiguration,
  TargetId,
  TargetAnnouncement,
  TeamConfiguration,
  Term,
} from '@cranberryturn/types';

import type { Effect } from './effects.js';
import type { Warning } from './list-warnings.js';
import type { TargetImpact } from './predict-target-impact.js';

/** An effect or a warning with the sentence shown to operators. */
export type WithSentence<Entry> = Entry & { readonly sentence: string };

/** Response to `POST /v1/admin/plans`. */
export interface PlanView {
  readonly planId: string;
  readonly intent: Intent;
  readonly baseVersion: ConfigurationVersion;
  readonly effects: readonly WithSentence<Effect>[];
  readonly warnings: readonly WithSentence<Warning>[];
  /** Predicted impact on the targets announced at present; not part of the plan's digest. */
  readonly observation: TargetImpact;
}

/** Response to an accepted confirmation. */
export interface ConfirmView {
  readonly version: ConfigurationVersion;
  readonly change: ConfigurationChange;
}

/** Rollout state of the current configuration version on one dispatcher. */
export enum RolloutState {
  /** The dispatcher and its sidecars apply the current version. */
  InForce = 'in-force',
  /** The dispatcher or one of its sidecars still applies an earlier version. */
  Behind = 'behind',
  /** The dispatcher has not reported for some seconds. */
  Silent = 'silent',
}

/** Status of one dispatcher. */
export interface DispatcherView {
  readonly dispatcherId: DispatcherId;
  readonly state: RolloutState;
  /** Version that the dispatcher last reported; undefined before its first report to this leader. */
  readonly configurationVersion?: ConfigurationVersion | undefined;
  readonly reportAgeMilliseconds?: Milliseconds | undefined;
  /** Targets with a session to this dispatcher whose sidecars apply an earlier version. */
  readonly targetsBehind: readonly TargetId[];
}

/** Status of a worker according to the configuration and the announcements. */
export enum WorkerStatus {
  Active = 'active',
  Draining = 'draining',
  Removed = 'removed',
  /** Declared, but not announced by any target. */
  Absent = 'absent',
}

/** Status of one worker. */
export interface WorkerView extends Pick<
  TargetAnnouncement,
  'targetId' | 'service' | 'rack' | 'dataCentre'
> {
  readonly status: WorkerStatus;
  readonly slots?: number | undefined;
  /** False for an announced target that the configuration does not declare. */
  readonly declared: boolean;
}

/** Role of a replica in the replicated log. */
export enum ReplicaStatus {
  Leader = 'leader',
  Voter = 'voter',
  /** Receives the log but has no vote yet. */
  Learner = 'learner',
  /** A member of the log that the leader has not heard for some seconds. */
  Silent = 'silent',
  /** In the configuration, but not yet a member of the log. */
  Joining = 'joining',
  /** A member of the log that is no longer in the configuration. */
  Leaving = 'leaving',
}

/** Status of one control replica. */
export interface ReplicaView extends ControlHostConfiguration {
  readonly status: ReplicaStatus;
}

/** Response to `GET /v1/admin/status`. */
export interface StatusView {
  readonly configurationVersion: ConfigurationVersion;
  readonly leader: ReplicaId;
  readonly term: Term;
  readonly commitIndex: LogIndex;
  readonly replicas: readonly ReplicaView[];
  readonly dispatchers: readonly DispatcherView[];
  readonly workers: readonly WorkerView[];
  readonly services: readonly ServiceConfiguration[];
  readonly teams: readonly TeamConfiguration[];
  readonly claims: { readonly unfinished: number; readonly finished: number };
}

/** Response to `GET /v1/admin/history`, latest change first. */
export interface HistoryView {
  readonly changes: readonly ConfigurationChange[];
}

/** Response to `GET /v1/admin/evacuations`. */
export type EvacuationsView = EvacuationState;

/** Response to an acknowledged order to evacuate a data centre or to end an evacuation. */
export interface EvacuationOrderView extends EvacuationState {
  /** False when the data centre was already in the ordered state. */
  readonly changed: boolean;
}

/** Response body of every error of the administration API. */
export interface RefusalView {
  readonly error: string;
  /** In a conflict, the change that was accepted on the same base version. */
  readonly winner?: ConfigurationChange | undefined;
  readonly currentVersion?: ConfigurationVersion | undefined;
}
