/**
 * Lets requests wait for a short time after the start of a dispatcher. Answers a load that arrives while
 * all processes come back at once: refused callers would come back later than the workers.
 */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** After this time, what is still missing is missing for longer. */
const startTime: Milliseconds = 4_000;
/** Workers announce themselves one after the other; the first ones would get all of the load. */
const settleTime: Milliseconds = 150;
/** Longest wait of one request: control elects a leader and workers report within a second of a start of all hosts. */
const patience: Milliseconds = 1_000;
const checkInterval: Milliseconds = 25;

/** What a dispatcher needs to serve. */
export interface ReadinessSources {
  readonly timers: TimerService;
  readonly hasConfiguration: () => boolean;
  /** Workers that tasks can be given to now: none when this process is cut off. */
  readonly countWorkers: () => number;
  /** Whether the process has just been suspended, and must notice first who left meanwhile. */
  readonly isPaused: () => boolean;
}

/** Whether the dispatcher serves, from its start on. */
export interface StartReadiness {
  isReady(): boolean;
  /** Resolves when the dispatcher serves, or when waiting is of no use any more. */
  whenReady(): Promise<void>;
}

/** Watches the start of a dispatcher. */
export function watchStart(sources: ReadinessSources): StartReadiness {
  const { timers, hasConfiguration, countWorkers, isPaused } = sources;
  const startedAt = timers.now();
  let settled = false;
  let workers = 0;
  let grownAt = startedAt;

  const isReady = (): boolean => {
    const now = timers.now();
    const count = countWorkers();
    if (count > workers) grownAt = now;
    workers = count;
    settled ||= count > 0 && now - grownAt >= settleTime;
    settled ||= now - startedAt >= startTime;
    return settled && count > 0 && hasConfiguration();
  };

  const whenReady = (): Promise<void> => {
    const began = timers.now();
    const isUseless = (): boolean =>
      isReady() || began - startedAt >= startTime;
    if (isUseless() && !isPaused()) return Promise.resolve();
    return new Promise(resolve => {
      const check = timers.every(checkInterval, () => {
        const isOver = timers.now() - began >= patience;
        if (isPaused() || (!isUseless() && !isOver)) return;
        check.cancel();
        resolve();
      });
    });
  };

  return { isReady, whenReady };
}
