/** What the administration API answers, as plain data. */
import type {
  ConfigurationChange,
  ConfigurationVersion,
  ControlHostConfiguration,
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
import type { TargetImpact } from './observe-targets.js';

/** An effect or a warning with its sentence. */
export type Worded<Entry> = Entry & { readonly sentence: string };

/** Answer to `POST /v1/admin/plans`. */
export interface PlanView {
  readonly planId: string;
  readonly intent: Intent;
  readonly baseVersion: ConfigurationVersion;
  readonly effects: readonly Worded<Effect>[];
  readonly warnings: readonly Worded<Warning>[];
  /** What the announced targets would do at this moment; no part of the plan's digest. */
  readonly observation: TargetImpact;
}

/** Answer to an accepted confirm. */
export interface ConfirmView {
  readonly version: ConfigurationVersion;
  readonly change: ConfigurationChange;
}

/** How far a dispatcher is with the current version of the configuration. */
export enum RolloutState {
  /** The dispatcher and its sidecars have the current version in force. */
  InForce = 'in-force',
  /** The dispatcher or one of its sidecars still has an earlier version. */
  Behind = 'behind',
  /** The dispatcher has not reported for some seconds. */
  Silent = 'silent',
}

/** One dispatcher in the status. */
export interface DispatcherView {
  readonly dispatcherId: DispatcherId;
  readonly state: RolloutState;
  /** Version that it last reported; undefined before its first report to this leader. */
  readonly configurationVersion?: ConfigurationVersion | undefined;
  readonly reportAgeMilliseconds?: Milliseconds | undefined;
  /** Sidecars that it serves and that have an earlier version. */
  readonly targetsBehind: readonly TargetId[];
}

/** What a worker does at the moment, as the configuration says. */
export enum WorkerStatus {
  Active = 'active',
  Draining = 'draining',
  Removed = 'removed',
  /** Declared, but no target announces itself for it. */
  Absent = 'absent',
}

/** One worker in the status. */
export interface WorkerView extends Pick<
  TargetAnnouncement,
  'targetId' | 'service' | 'rack' | 'dataCentre'
> {
  readonly status: WorkerStatus;
  readonly slots?: number | undefined;
  /** False for a target that announced itself without a declaration. */
  readonly declared: boolean;
}

/** Part that a replica plays in the log. */
export enum ReplicaStatus {
  Leader = 'leader',
  Voter = 'voter',
  /** Receives the log but does not count yet. */
  Learner = 'learner',
  /** A member of the log that the leader has not heard for some seconds. */
  Silent = 'silent',
  /** Named by the configuration, but not yet a member of the log. */
  Joining = 'joining',
  /** A member of the log that the configuration no longer names. */
  Leaving = 'leaving',
}

/** One replica of control in the status. */
export interface ReplicaView extends ControlHostConfiguration {
  readonly status: ReplicaStatus;
}

/** Answer to `GET /v1/admin/status`. */
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

/** Answer to `GET /v1/admin/history`, latest change first. */
export interface HistoryView {
  readonly changes: readonly ConfigurationChange[];
}

/** Body of every refusal of the administration API. */
export interface RefusalView {
  readonly error: string;
  /** The change that won, when a confirm met a conflict. */
  readonly winner?: ConfigurationChange | undefined;
  readonly currentVersion?: ConfigurationVersion | undefined;
}
