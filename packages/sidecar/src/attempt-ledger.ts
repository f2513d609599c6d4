/** Ledger of the attempts that this incarnation of the sidecar started. */
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

/** Retention limits of the ledger. */
export interface LedgerRetention {
  /** How long the starts of a job are kept after its last start, end or fence. */
  readonly startsMilliseconds: Milliseconds;
  /**
   * Limit for all answers kept for adopting dispatchers, the oldest dropped
   * first. Counted as string length, not as encoded bytes.
   */
  readonly answersBytes: number;
}

/** Arrays are replaced rather than appended to, as an append reserves spare capacity. */
interface JobRecord {
  readonly jobId: JobId;
  /** Fencing token: starts with a lower epoch are refused. */
  minimumEpoch: OwnershipEpoch;
  lastTouchedAt: Milliseconds;
  /** Dispatchers to which the results of running attempts are reported. */
  watchers: readonly DispatcherId[];
  tasks: readonly TaskRecord[];
}

const emptyList: readonly never[] = [];

/** Result of the check before a start. */
export enum StartPermission {
  Granted = 'granted',
  /** The job was fenced by a later epoch. */
  Fenced = 'fenced',
  /** The ledger holds a start of the task, by this or another attempt. */
  AlreadyStarted = 'already-started',
}

/**
 * Prevents a second start of a task and a start by a fenced owner. Held in
 * memory only: a restarted sidecar announces a new incarnation.
 */
export class AttemptLedger {
  readonly #timers: TimerService;
  readonly #retention: LedgerRetention;
  /** Ordered by `lastTouchedAt`, oldest first. */
  readonly #jobs = new Map<JobId, JobRecord>();
  /** Watcher lists with one entry, shared by all jobs of a dispatcher to save memory. */
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

  /** Records the start of an attempt unless it is fenced or a repetition. Call before the target is asked. */
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

  /**
   * Removes a start whose request provably never reached the target, so that
   * the task may start again. Returns the dispatchers to notify.
   */
  withdrawStart(key: AttemptKey): readonly DispatcherId[] {
    const job = this.#jobs.get(key.jobId);
    if (job === undefined) return [];
    this.#forgetTask(key.jobId, job, key.taskId);
    return [...job.watchers];
  }

  /** Records the end of an attempt. Returns the dispatchers to notify. */
  recordEnd(result: EndedAttempt): readonly DispatcherId[] {
    const job = this.#touchJob(result.jobId);
    const task = findTask(job, result.taskId);
    const dispatchers = [...job.watchers];
    if (task === undefined) return dispatchers;
    // An idempotent task may run again, so an adopter needs no evidence of its end.
    if (task.idempotent) {
      this.#forgetTask(result.jobId, job, result.taskId);
      return dispatchers;
    }
    recordTaskEnd(task, result);
    this.#answerBytes += countAnswerCharacters(task);
    this.#dropOldAnswers();
    return dispatchers;
  }

  /**
   * Refuses later starts with a lower epoch, adds the dispatcher to the watchers
   * and returns what the ledger holds about the job.
   */
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

  /** Total length of the answers kept, in characters. */
  get answerBytes(): number {
    return this.#answerBytes;
  }

  /** Returns whether the dispatcher started or fenced the job here. */
  isWatched(jobId: JobId, dispatcher: DispatcherId): boolean {
    return this.#jobs.get(jobId)?.watchers.includes(dispatcher) === true;
  }

  /** Number of jobs in the ledger. */
  get size(): number {
    return this.#jobs.size;
  }

  /** Removes idle jobs whose last start, end or fence is older than the retention time. */
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
