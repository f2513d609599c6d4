/** Arranges decision records by what the checks ask for. */
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

/** Decision records by kind, in the order of time. */
export interface DecisionIndex {
  readonly admitted: ReadonlyMap<JobId, RecordOf<DecisionKind.Admitted>>;
  readonly refused: readonly RecordOf<DecisionKind.Refused>[];
  readonly started: readonly RecordOf<DecisionKind.Started>[];
  readonly ended: readonly RecordOf<DecisionKind.Ended>[];
  readonly replied: readonly RecordOf<DecisionKind.Replied>[];
  readonly leaving: readonly RecordOf<DecisionKind.Leaving>[];
  /** Starts by `nameTask`. */
  readonly startsOfTask: ReadonlyMap<
    string,
    readonly RecordOf<DecisionKind.Started>[]
  >;
  /** Jobs of which at least one task was started. */
  readonly startedJobs: ReadonlySet<JobId>;
}

/** Sorts the records by time and indexes them. */
export function indexDecisions(
  records: readonly DecisionRecord[],
): DecisionIndex {
  const sorted = [...records].sort((left, right) => left.at - right.at);
  const started = pick(sorted, DecisionKind.Started);
  const admitted = pick(sorted, DecisionKind.Admitted);
  return {
    admitted: new Map(admitted.map(record => [record.jobId, record])),
    refused: pick(sorted, DecisionKind.Refused),
    started,
    ended: pick(sorted, DecisionKind.Ended),
    replied: pick(sorted, DecisionKind.Replied),
    leaving: pick(sorted, DecisionKind.Leaving),
    startsOfTask: groupByTask(started),
    startedJobs: new Set(started.map(record => record.jobId)),
  };
}

/** A name of a task that is unique over jobs. */
export function nameTask(jobId: JobId, taskId: TaskId): string {
  return JSON.stringify([jobId, taskId]);
}

function pick<Wanted extends Kind>(
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
    const name = nameTask(record.jobId, record.taskId);
    const group = groups.get(name) ?? [];
    group.push(record);
    groups.set(name, group);
  }
  return groups;
}
