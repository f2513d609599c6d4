/**
 * Holds requests for a short time after the start of a dispatcher. When all processes restart at once,
 * requests arrive before the workers have connected; refused callers would retry later than necessary.
 */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** End of the start phase. Workers or configuration missing by then are not expected soon, so requests no longer wait. */
const startPhaseMilliseconds: Milliseconds = 4_000;
/**
 * Time without a new worker before requests are served: workers connect one by one, and few of them seem to have no
 * capacity for what has waited.
 */
const settleMilliseconds: Milliseconds = 60;
/** Maximum wait of one request: after a start of all hosts, control elects a leader and workers report within a second. */
const maximumWaitMilliseconds: Milliseconds = 1_000;
const checkIntervalMilliseconds: Milliseconds = 10;

/** State of the dispatcher that its readiness depends on. */
export interface ReadinessDependencies {
  readonly timers: TimerService;
  readonly hasConfiguration: () => boolean;
  /** Number of workers that accept tasks now, or would without an evacuation; 0 when this process is cut off from the network. */
  readonly countWorkers: () => number;
  /** Whether placement is paused after a suspension, until disconnected callers are noticed. */
  readonly isPaused: () => boolean;
}

/** Readiness of a dispatcher from its start on. */
export interface StartReadiness {
  /** Whether the dispatcher has a configuration and workers, and their number has settled or the start phase is over. */
  isReady(): boolean;
  /** Resolves when the dispatcher is ready, or when a request should not wait any longer. Never rejects. */
  whenReady(): Promise<void>;
}

/** Starts to track the readiness of a dispatcher. Called once at its start. */
export function watchStartReadiness(
  dependencies: ReadinessDependencies,
): StartReadiness {
  const { timers, hasConfiguration, countWorkers, isPaused } = dependencies;
  const startedAt = timers.now();
  let hasSettled = false;
  let lastWorkerCount = 0;
  let lastIncreaseAt = startedAt;

  const isReady = (): boolean => {
    const now = timers.now();
    const workerCount = countWorkers();
    if (workerCount > lastWorkerCount) lastIncreaseAt = now;
    lastWorkerCount = workerCount;
    hasSettled ||=
      workerCount > 0 && now - lastIncreaseAt >= settleMilliseconds;
    hasSettled ||= now - startedAt >= startPhaseMilliseconds;
    return hasSettled && workerCount > 0 && hasConfiguration();
  };

  const whenReady = (): Promise<void> => {
    const waitingSince = timers.now();
    const shouldStopWaiting = (): boolean =>
      isReady() || waitingSince - startedAt >= startPhaseMilliseconds;
    if (shouldStopWaiting() && !isPaused()) return Promise.resolve();
    return new Promise(resolve => {
      const check = timers.every(checkIntervalMilliseconds, () => {
        const hasWaitedMaximum =
          timers.now() - waitingSince >= maximumWaitMilliseconds;
        if (isPaused() || (!shouldStopWaiting() && !hasWaitedMaximum)) return;
        check.cancel();
        resolve();
      });
    });
  };

  return { isReady, whenReady };
}
