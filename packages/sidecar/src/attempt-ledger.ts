/** Remembers every attempt that this run of the sidecar started. */
import type { TimerService } from '@cranberryturn/timers';
import type {
  AttemptKey,
  DispatcherId,
  JobId,
  Milliseconds,
  OwnershipEpoch,
  TaskId,
} from '@cranberryturn/types';
import type { JobEvidence } from '@cranberryturn/wire';

import { copyText } from './copy-text.js';
import {
  composeAttemptKey,
  composeAttemptResult,
  dropAnswer,
  type EndedAttempt,
  countAnswerCharacters,
  type TaskRecord,
  recordTaskEnd,
  createTaskRecord,
  TaskState,
} from './task-record.js';

/** How much a ledger keeps. */
export interface LedgerRetention {
  /** Time that the start of a task is remembered after its job was last touched. */
  readonly startsMilliseconds: Milliseconds;
  /** Size of all answers kept for an adopting dispatcher. */
  readonly answersBytes: number;
}

/** Arrays are replaced and not grown, which would reserve room for later elements. */
interface JobRecord {
  readonly jobId: JobId;
  minimumEpoch: OwnershipEpoch;
  lastTouchedAt: Milliseconds;
  /** Dispatchers that want the results of running attempts. */
  watchers: readonly DispatcherId[];
  tasks: readonly TaskRecord[];
}

const emptyList: readonly never[] = [];

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
  /** The watchers of the many jobs that have one only, shared by them. */
  readonly #singleWatcherLists = new Map<
    DispatcherId,
    readonly DispatcherId[]
  >();
  readonly #createdAt: Milliseconds;
  #answerBytes = 0;

  constructor(timers: TimerService, retention: LedgerRetention) {
    this.#timers = timers;
    this.#retention = retention;
    this.#createdAt = timers.now();
  }

  /** Records the start of an attempt, or says why it must not start. */
  recordStart(
    key: AttemptKey,
    dispatcher: DispatcherId,
    idempotent: boolean,
  ): StartPermission {
    const job = this.#touchJob(key.jobId);
    if (key.epoch < job.minimumEpoch) return StartPermission.Fenced;
    if (findTask(job, key.taskId) !== undefined) {
      return StartPermission.AlreadyStarted;
    }
    this.#addWatcher(job, dispatcher);
    job.tasks = [...job.tasks, createTaskRecord(key, idempotent)];
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
  recordEnd(result: EndedAttempt): readonly DispatcherId[] {
    const job = this.#touchJob(result.jobId);
    const task = findTask(job, result.taskId);
    const dispatchers = [...job.watchers];
    if (task === undefined) return dispatchers;
    // An idempotent attempt may run again: nobody asks for it later.
    if (task.idempotent) {
      this.#forgetTask(result.jobId, job, result.taskId);
      return dispatchers;
    }
    recordTaskEnd(task, result);
    this.#answerBytes += countAnswerCharacters(task);
    this.#dropOldAnswers();
    return dispatchers;
  }

  /** Refuses later starts below the epoch and tells what is known of the job. */
  fenceJob(
    jobId: JobId,
    epoch: OwnershipEpoch,
    dispatcher: DispatcherId,
  ): JobEvidence {
    const job = this.#touchJob(jobId);
    job.minimumEpoch = Math.max(job.minimumEpoch, epoch);
    this.#addWatcher(job, dispatcher);
    return {
      jobId,
      epoch,
      ended: job.tasks.flatMap(task => composeAttemptResult(jobId, task) ?? []),
      running: listKeys(jobId, job, TaskState.Running),
      forgotten: listKeys(jobId, job, TaskState.AnswerDropped),
      rememberedMilliseconds: this.#computeRememberedMilliseconds(),
    };
  }

  /** Size of the answers kept. */
  get answerBytes(): number {
    return this.#answerBytes;
  }

  /** Whether the dispatcher wants the results of the job. */
  isWatched(jobId: JobId, dispatcher: DispatcherId): boolean {
    return this.#jobs.get(jobId)?.watchers.includes(dispatcher) === true;
  }

  /** Number of jobs remembered. */
  get size(): number {
    return this.#jobs.size;
  }

  /** Forgets jobs that were not touched within the retention time. */
  forgetOldJobs(): void {
    const expiryTime = this.#timers.now() - this.#retention.startsMilliseconds;
    for (const [jobId, job] of this.#jobs) {
      if (job.lastTouchedAt > expiryTime) return;
      if (isRunning(job)) continue;
      this.#jobs.delete(jobId);
      for (const task of job.tasks) this.#dropAnswer(task);
    }
  }

  #addWatcher(job: JobRecord, dispatcher: DispatcherId): void {
    if (job.watchers.includes(dispatcher)) return;
    const singleWatcherList = this.#singleWatcherLists.get(dispatcher) ?? [
      dispatcher,
    ];
    this.#singleWatcherLists.set(dispatcher, singleWatcherList);
    job.watchers =
      job.watchers.length === 0
        ? singleWatcherList
        : [...job.watchers, ...singleWatcherList];
  }

  #forgetTask(jobId: JobId, job: JobRecord, taskId: TaskId): void {
    job.tasks = job.tasks.filter(task => task.taskId !== taskId);
    if (job.tasks.length === 0 && job.minimumEpoch === 0) {
      this.#jobs.delete(jobId);
    }
  }

  #computeRememberedMilliseconds(): Milliseconds {
    const uptimeMilliseconds = this.#timers.now() - this.#createdAt;
    return Math.min(uptimeMilliseconds, this.#retention.startsMilliseconds);
  }

  #touchJob(jobId: JobId): JobRecord {
    const job = this.#jobs.get(jobId) ?? {
      jobId: copyText(jobId),
      minimumEpoch: 0,
      lastTouchedAt: 0,
      watchers: emptyList,
      tasks: emptyList,
    };
    job.lastTouchedAt = this.#timers.now();
    this.#jobs.delete(job.jobId);
    this.#jobs.set(job.jobId, job);
    return job;
  }

  #dropOldAnswers(): void {
    if (this.#answerBytes <= this.#retention.answersBytes) return;
    for (const job of this.#jobs.values()) {
      for (const task of job.tasks) {
        this.#dropAnswer(task);
        if (this.#answerBytes <= this.#retention.answersBytes) return;
      }
    }
  }

  #dropAnswer(task: TaskRecord): void {
    this.#answerBytes -= countAnswerCharacters(task);
    dropAnswer(task);
  }
}

function findTask(job: JobRecord, taskId: TaskId): TaskRecord | undefined {
  return job.tasks.find(task => task.taskId === taskId);
}

function listKeys(
  jobId: JobId,
  job: JobRecord,
  state: TaskState,
): readonly AttemptKey[] {
  return job.tasks
    .filter(task => task.state === state)
    .map(task => composeAttemptKey(jobId, task));
}

function isRunning(job: JobRecord): boolean {
  return job.tasks.some(task => task.state === TaskState.Running);
}
