/** The crashes of workers that sidecars have reported lately. */
import type {
  Incarnation,
  JobId,
  Milliseconds,
  ServiceName,
  TaskId,
  WorkerCrash,
} from '@cranberryturn/types';

/** Longer than callers wait for a job, including their retries. */
const retentionMilliseconds: Milliseconds = 60_000;
const maximumCrashes = 512;
const maximumListedTasks = 16;

/** A crash, and where it happened. */
export interface RecordedCrash {
  readonly crash: WorkerCrash;
  /** Name of the sidecar, which outlasts the incarnations of its worker. */
  readonly host: string;
  readonly at: Milliseconds;
}

/** Recent crashes by incarnation, and by the tasks that were active. */
export class CrashLedger {
  readonly #crashes = new Map<Incarnation, RecordedCrash>();
  readonly #crashesByTask = new Map<string, RecordedCrash[]>();

  /** Records a crash; undefined when it is known already, since sidecars repeat their reports. */
  record(
    host: string,
    crash: WorkerCrash,
    now: Milliseconds,
  ): RecordedCrash | undefined {
    if (this.#crashes.has(crash.incarnation)) return undefined;
    const recorded = { crash, host, at: now - crash.ageMilliseconds };
    this.#crashes.set(crash.incarnation, recorded);
    for (const run of crash.runs) {
      const task = nameTask(run.jobId, run.taskId);
      const crashes = this.#crashesByTask.get(task) ?? [];
      this.#crashesByTask.set(task, [...crashes, recorded]);
    }
    this.#dropOldest(now);
    return recorded;
  }

  /** Recent crashes of the workers of a service, in the order of the reports. */
  list(service: ServiceName, now: Milliseconds): readonly RecordedCrash[] {
    this.#dropOldest(now);
    return [...this.#crashes.values()].filter(
      ({ crash }) => crash.service === service,
    );
  }

  /** Crashes of workers at which a run of the task was active. */
  listCrashesOf(jobId: JobId, taskId: TaskId): readonly RecordedCrash[] {
    return this.#crashesByTask.get(nameTask(jobId, taskId)) ?? [];
  }

  #dropOldest(now: Milliseconds): void {
    for (const [incarnation, recorded] of this.#crashes) {
      const isExpired = now - recorded.at >= retentionMilliseconds;
      if (!isExpired && this.#crashes.size <= maximumCrashes) return;
      this.#crashes.delete(incarnation);
      this.#dropTasks(recorded);
    }
  }

  #dropTasks(recorded: RecordedCrash): void {
    for (const run of recorded.crash.runs) {
      const task = nameTask(run.jobId, run.taskId);
      const crashes = this.#crashesByTask.get(task) ?? [];
      const remaining = crashes.filter(other => other !== recorded);
      if (remaining.length > 0) this.#crashesByTask.set(task, remaining);
      else this.#crashesByTask.delete(task);
    }
  }
}

/** Tasks of a crash that were active at other crashed workers too, with the number of crashes; at most 16. */
export function listRepeatedTasks(
  ledger: CrashLedger,
  { runs }: WorkerCrash,
): readonly string[] {
  return runs
    .map(({ jobId, taskId }) => ({
      task: nameTask(jobId, taskId),
      crashes: ledger.listCrashesOf(jobId, taskId).length,
    }))
    .filter(({ crashes }) => crashes > 1)
    .slice(0, maximumListedTasks)
    .map(({ task, crashes }) => `${task}x${String(crashes)}`);
}

function nameTask(jobId: JobId, taskId: TaskId): string {
  return `${jobId}.${taskId}`;
}
