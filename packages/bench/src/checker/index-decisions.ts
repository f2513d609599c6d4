/** Indexes decision records for the checks. */
import {
  type DecisionKind as Kind,
  DecisionKind,
  type DecisionRecord,
  type JobId,
  type TaskId,
} from '@cranberryturn/types';

/** Decision records of one kind. */
export type RecordOf<Wanted extends Kind> = Extract<
  DecisionRecord,
  { readonly kind: Wanted }
>;

/** Decision records by kind, each in order of time. */
export interface DecisionIndex {
  readonly admitted: ReadonlyMap<JobId, RecordOf<DecisionKind.Admitted>>;
  readonly refused: readonly RecordOf<DecisionKind.Refused>[];
  readonly started: readonly RecordOf<DecisionKind.Started>[];
  readonly ended: readonly RecordOf<DecisionKind.Ended>[];
  readonly replied: readonly RecordOf<DecisionKind.Replied>[];
  readonly leaving: readonly RecordOf<DecisionKind.Leaving>[];
  /** Keyed by `composeTaskKey`. */
  readonly startsOfTask: ReadonlyMap<
    string,
    readonly RecordOf<DecisionKind.Started>[]
  >;
  /** Jobs with at least one started task. */
  readonly startedJobs: ReadonlySet<JobId>;
}

/** Sorts the records by time and indexes them. */
export function indexDecisions(
  records: readonly DecisionRecord[],
): DecisionIndex {
  const sorted = [...records].sort((left, right) => left.at - right.at);
  const started = selectKind(sorted, DecisionKind.Started);
  const admitted = selectKind(sorted, DecisionKind.Admitted);
  return {
    admitted: new Map(admitted.map(record => [record.jobId, record])),
    refused: selectKind(sorted, DecisionKind.Refused),
    started,
    ended: selectKind(sorted, DecisionKind.Ended),
    replied: selectKind(sorted, DecisionKind.Replied),
    leaving: selectKind(sorted, DecisionKind.Leaving),
    startsOfTask: groupByTask(started),
    startedJobs: new Set(started.map(record => record.jobId)),
  };
}

/** Composes a key of a task that is unique across jobs. */
export function composeTaskKey(jobId: JobId, taskId: TaskId): string {
  return JSON.stringify([jobId, taskId]);
}

function selectKind<Wanted extends Kind>(
  records: readonly DecisionRecord[],
  kind: Wanted,
): RecordOf<Wanted>[] {
  return records.filter(
    (record): record is RecordOf<Wanted> => record.kind === kind,
  );
}

function groupByTask(
  started: readonly RecordOf<DecisionKind.Started>[],
): Map<string, RecordOf<DecisionKind.Started>[]> {
  const groups = new Map<string, RecordOf<DecisionKind.Started>[]>();
  for (const record of started) {
    const name = composeTaskKey(record.jobId, record.taskId);
    const group = groups.get(name) ?? [];
    group.push(record);
    groups.set(name, group);
  }
  return groups;
}
