/** Records the crashes of a worker and the runs that were active, for the dispatchers. */
import type { Logger } from '@cranberryturn/logger';
import { Counter, type Metrics } from '@cranberryturn/metrics';
import type { TimerService } from '@cranberryturn/timers';
import type {
  Incarnation,
  Milliseconds,
  WorkerCrash,
  WorkerRun,
} from '@cranberryturn/types';

import type { ActiveRun } from './active-run.js';
import type { QueuePresences } from './queue-presence.js';

/** Crashes are repeated for this long to dispatchers that connect, which may have restarted. */
const retentionMilliseconds: Milliseconds = 60_000;
const maximumCrashes = 16;
/** Bounds the message; more runs than a worker has slots for. */
const maximumRuns = 256;
const maximumLoggedRuns = 16;

/** How a crash was noticed. */
export enum CrashEvidence {
  /** The worker accepts no connections. */
  ConnectionRefused = 'connection-refused',
  /** Another incarnation reported, and the earlier one had not left. */
  Replaced = 'replaced',
}

/** Dependencies of the crash reports. */
export interface CrashReportsOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly presences: QueuePresences;
  /** Called for each crash once it is recorded. */
  readonly recorded: () => void;
}

interface RecordedCrash {
  readonly crash: WorkerCrash;
  readonly at: Milliseconds;
}

/** The crashes of the incarnations of one worker. */
export class CrashReports {
  readonly #options: CrashReportsOptions;
  #recorded: readonly RecordedCrash[] = [];
  /** Runs of the latest incarnation that ended when it was lost. */
  #lost:
    | { readonly incarnation: Incarnation; readonly runs: readonly ActiveRun[] }
    | undefined;

  constructor(options: CrashReportsOptions) {
    this.#options = options;
  }

  /** Keeps the runs that an incarnation lost, until it is known whether it has crashed. */
  addLostRuns(
    { incarnation }: WorkerRun,
    lostRuns: readonly ActiveRun[],
  ): void {
    const earlier =
      this.#lost?.incarnation === incarnation ? this.#lost.runs : [];
    this.#lost = { incarnation, runs: [...earlier, ...lostRuns] };
  }

  /** Forgets the lost runs of a worker that answers again: it had been silent, and has not crashed. */
  forgetLostRuns(): void {
    this.#lost = undefined;
  }

  /** Records that another incarnation has replaced a worker that had not left. */
  recordReplacement(worker: WorkerRun): void {
    if (this.#lost?.incarnation !== worker.incarnation) return;
    this.record(worker, this.#lost.runs, CrashEvidence.Replaced);
  }

  /** Records the crash of an incarnation once, unless no run was active. */
  record(
    worker: WorkerRun,
    activeRuns: readonly ActiveRun[],
    evidence: CrashEvidence,
  ): void {
    const { timers, logger, metrics, presences } = this.#options;
    const { workerId, incarnation, service } = worker;
    const isKnown = this.#recorded.some(
      ({ crash }) => crash.incarnation === incarnation,
    );
    if (isKnown || activeRuns.length === 0) return;
    const at = timers.now();
    presences.pause(at);
    const crash: WorkerCrash = {
      workerId,
      incarnation,
      service,
      ageMilliseconds: 0,
      runs: activeRuns.slice(0, maximumRuns).map(({ order, taskId }) => ({
        jobId: order.jobId,
        taskId,
        queue: order.queue,
      })),
      presence: presences.list(at),
    };
    this.#recorded = [...this.#recorded, { crash, at }].slice(-maximumCrashes);
    metrics.count(Counter.WorkerCrashes);
    metrics.count(Counter.RunsLostInCrashes, activeRuns.length);
    logger.warn('worker crashed', {
      worker: workerId,
      evidence,
      activeRuns: activeRuns.length,
      runs: activeRuns
        .slice(0, maximumLoggedRuns)
        .map(
          ({ order, task, run, startedAt }) =>
            `${order.queue ?? ''}:${task}/${String(run)}+${String(Math.round(at - startedAt))}`,
        ),
      presence: crash.presence,
    });
    this.#options.recorded();
  }

  /** The recent crashes, with their age. */
  listRecent(): readonly WorkerCrash[] {
    const now = this.#options.timers.now();
    this.#recorded = this.#recorded.filter(
      ({ at }) => now - at < retentionMilliseconds,
    );
    return this.#recorded.map(({ crash, at }) => ({
      ...crash,
      ageMilliseconds: Math.round(now - at),
    }));
  }
}
