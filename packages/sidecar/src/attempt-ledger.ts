/** Remembers every attempt that this run of the sidecar started. */
import type { TimerService } from '@cranberryturn/timers';
import {
  type AttemptKey,
  AttemptOutcome,
  type AttemptResult,
  type DispatcherId,
  type JobId,
  type Milliseconds,
  type OwnershipEpoch,
  type TaskId,
} from '@cranberryturn/types';
import type { JobEvidence } from '@cranberryturn/wire';

/** How much a ledger keeps. */
export interface LedgerRetention {
  /** Time that the start of a task is remembered after its job was last touched. */
  readonly startsMilliseconds: Milliseconds;
  /** Size of all answers kept for an adopting dispatcher. */
  readonly answersBytes: number;
}

interface TaskRecord {
  readonly key: AttemptKey;
  readonly idempotent: boolean;
  /** Undefined while the attempt runs. */
  result: AttemptResult | undefined;
  answerDropped: boolean;
}

interface JobRecord {
  fencedBelow: OwnershipEpoch;
  touched: Milliseconds;
  /** Dispatchers that want the results of running attempts. */
  readonly watchers: Set<DispatcherId>;
  readonly tasks: Map<TaskId, TaskRecord>;
}

/** Whether an attempt may start here. */
export enum StartPermission {
  Granted = 'granted',
  Fenced = 'fenced',
  AlreadyStarted = 'already-started',
}

/** The last gate before a start. Kept in memory: a restarted sidecar is a new run. */
export class AttemptLedger {
  readonly #timers: TimerService;
  readonly #retention: LedgerRetention;
  /** In order of last touch. */
  readonly #jobs = new Map<JobId, JobRecord>();
  readonly #created: Milliseconds;
  #answerBytes = 0;

  constructor(timers: TimerService, retention: LedgerRetention) {
    this.#timers = timers;
    this.#retention = retention;
    this.#created = timers.now();
  }

  /** Records the start of an attempt, or says why it must not start. */
  recordStart(
    key: AttemptKey,
    dispatcher: DispatcherId,
    idempotent: boolean,
  ): StartPermission {
    const job = this.#touch(key.jobId);
    if (key.epoch < job.fencedBelow) return StartPermission.Fenced;
    const known = job.tasks.get(key.taskId);
    if (known !== undefined) return StartPermission.AlreadyStarted;
    job.watchers.add(dispatcher);
    job.tasks.set(key.taskId, {
      key,
      idempotent,
      result: undefined,
      answerDropped: false,
    });
    return StartPermission.Granted;
  }

  /** Forgets a start of which the target provably heard nothing. Returns the dispatchers to tell. */
  withdrawStart(key: AttemptKey): readonly DispatcherId[] {
    const job = this.#jobs.get(key.jobId);
    if (job === undefined) return [];
    this.#forgetTask(key.jobId, job, key.taskId);
    return [...job.watchers];
  }

  /** Records how an attempt ended. Returns the dispatchers to tell. */
  recordEnd(result: AttemptResult): readonly DispatcherId[] {
    const job = this.#touch(result.jobId);
    const task = job.tasks.get(result.taskId);
    const dispatchers = [...job.watchers];
    if (task === undefined) return dispatchers;
    // An idempotent attempt may run again: nobody asks for it later.
    if (task.idempotent) {
      this.#forgetTask(result.jobId, job, result.taskId);
      return dispatchers;
    }
    task.result = result;
    this.#answerBytes += measureAnswer(result);
    this.#dropOldAnswers();
    return dispatchers;
  }

  /** Refuses later starts below the epoch and tells what is known of the job. */
  fenceJob(
    jobId: JobId,
    epoch: OwnershipEpoch,
    dispatcher: DispatcherId,
  ): JobEvidence {
    const job = this.#touch(jobId);
    job.fencedBelow = Math.max(job.fencedBelow, epoch);
    job.watchers.add(dispatcher);
    const records = [...job.tasks.values()];
    const ended = records.filter(one => one.result !== undefined);
    return {
      jobId,
      epoch,
      ended: ended.flatMap(one => {
        const known = one.answerDropped ? undefined : one.result;
        return known === undefined ? [] : [known];
      }),
      running: records
        .filter(one => one.result === undefined)
        .map(one => one.key),
      forgotten: ended.filter(one => one.answerDropped).map(one => one.key),
      rememberedMilliseconds: this.#remembered(),
    };
  }

  /** Size of the answers kept. */
  get answerBytes(): number {
    return this.#answerBytes;
  }

  /** Whether the dispatcher wants the results of the job. */
  isWatched(jobId: JobId, dispatcher: DispatcherId): boolean {
    return this.#jobs.get(jobId)?.watchers.has(dispatcher) === true;
  }

  /** Number of jobs remembered. */
  get size(): number {
    return this.#jobs.size;
  }

  /** Forgets jobs that were not touched within the retention time. */
  forgetOldJobs(): void {
    const horizon = this.#timers.now() - this.#retention.startsMilliseconds;
    for (const [jobId, job] of this.#jobs) {
      if (job.touched > horizon) return;
      if (isRunning(job)) continue;
      this.#jobs.delete(jobId);
      for (const task of job.tasks.values()) this.#dropAnswer(task);
    }
  }

  #forgetTask(jobId: JobId, job: JobRecord, taskId: TaskId): void {
    job.tasks.delete(taskId);
    if (job.tasks.size === 0 && job.fencedBelow === 0) this.#jobs.delete(jobId);
  }

  #remembered(): Milliseconds {
    const alive = this.#timers.now() - this.#created;
    return Math.min(alive, this.#retention.startsMilliseconds);
  }

  #touch(jobId: JobId): JobRecord {
    const job = this.#jobs.get(jobId) ?? {
      fencedBelow: 0,
      touched: 0,
      watchers: new Set(),
      tasks: new Map<TaskId, TaskRecord>(),
    };
    job.touched = this.#timers.now();
    this.#jobs.delete(jobId);
    this.#jobs.set(jobId, job);
    return job;
  }

  #dropOldAnswers(): void {
    if (this.#answerBytes <= this.#retention.answersBytes) return;
    for (const job of this.#jobs.values()) {
      for (const task of job.tasks.values()) {
        this.#dropAnswer(task);
        if (this.#answerBytes <= this.#retention.answersBytes) return;
      }
    }
  }

  #dropAnswer(task: TaskRecord): void {
    const { result } = task;
    if (task.answerDropped || result === undefined) return;
    if (result.outcome !== AttemptOutcome.Answered) return;
    this.#answerBytes -= measureAnswer(result);
    task.answerDropped = true;
    task.result = { ...result, answer: '' };
  }
}

function measureAnswer(result: AttemptResult): number {
  return result.outcome === AttemptOutcome.Answered ? result.answer.length : 0;
}

function isRunning(job: JobRecord): boolean {
  for (const task of job.tasks.values()) {
    if (task.result === undefined) return true;
  }
  return false;
}
