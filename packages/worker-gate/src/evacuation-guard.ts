/**
 * Decides whether the state of evacuations allows runs to start at this sidecar. The highest version that
 * any dispatcher has sent counts, so a dispatcher that is cut off from control cannot reopen a worker.
 */
import type { Logger } from '@cranberryturn/logger';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import {
  type DataCentreName,
  type DispatcherId,
  type EvacuationState,
  type EvacuationVersion,
  isEvacuated,
  type Milliseconds,
} from '@cranberryturn/types';

/**
 * Time with connected dispatchers, none of which sends a proved state, after which the highest version
 * received counts: control is down, or all these dispatchers are partitioned from it.
 */
const maximumWaitMilliseconds: Milliseconds = 3_000;
const checkIntervalMilliseconds: Milliseconds = 100;
/** Upper bound of what one check adds to the wait: while this process was suspended, it received no state. */
const maximumStepMilliseconds: Milliseconds = 2 * checkIntervalMilliseconds;

/** A state of the evacuations as a dispatcher sends it. */
export interface ReceivedEvacuations {
  readonly state: EvacuationState;
  /** Whether control has proved its leadership to the dispatcher recently. */
  readonly isProved: boolean;
}

/** Dependencies of the guard. */
export interface EvacuationGuardOptions {
  /** Whether evacuations are enabled; otherwise every start is allowed, and states are ignored. */
  readonly isEnabled: boolean;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly countConnectedDispatchers: () => number;
  /** Called when starts may have become allowed or forbidden. */
  readonly changed: () => void;
}

/** What evacuations mean for the starts on one worker. */
export interface StartRule {
  /** Whether no run may start. */
  readonly isClosed: () => boolean;
  /** Whether the data centre of the worker is evacuated. */
  readonly isEvacuated: () => boolean;
}

/** The state of evacuations at one sidecar, and the rule for starts. */
export class EvacuationGuard {
  readonly #options: EvacuationGuardOptions;
  #state: EvacuationState | undefined;
  /** Whether the sidecar still waits for a proved state. */
  #isWaiting: boolean;
  #waitedMilliseconds: Milliseconds = 0;
  #checkedAt: Milliseconds;
  #checkTimer: TimerSubscription | undefined;

  constructor(options: EvacuationGuardOptions) {
    const { isEnabled, timers } = options;
    this.#options = options;
    this.#isWaiting = isEnabled;
    this.#checkedAt = timers.now();
    if (!isEnabled) return;
    this.#checkTimer = timers.every(checkIntervalMilliseconds, () => {
      this.#checkWait();
    });
  }

  /** Highest version received; undefined before the first. */
  get version(): EvacuationVersion | undefined {
    return this.#state?.version;
  }

  /** The rule for the workers of a data centre. */
  createRule(dataCentre: DataCentreName): StartRule {
    const isEvacuatedNow = (): boolean =>
      this.#state !== undefined && isEvacuated(this.#state, dataCentre);
    return {
      isClosed: () => this.#isWaiting || isEvacuatedNow(),
      isEvacuated: isEvacuatedNow,
    };
  }

  /** Records a state; an older one changes nothing, and a proved one ends the wait even so. */
  receive(
    { state, isProved }: ReceivedEvacuations,
    dispatcher: DispatcherId,
  ): void {
    const { isEnabled, changed } = this.#options;
    if (!isEnabled) return;
    const isNewer =
      this.#state === undefined || state.version > this.#state.version;
    const endsWait = isProved && this.#isWaiting;
    if (isNewer) this.#recordState(state, dispatcher);
    if (endsWait) this.#endWait('a dispatcher sent a proved state');
    if (isNewer || endsWait) changed();
  }

  close(): void {
    this.#checkTimer?.cancel();
  }

  #recordState(state: EvacuationState, dispatcher: DispatcherId): void {
    const { timers, logger } = this.#options;
    this.#state = state;
    logger.info('evacuations received', {
      evacuationVersion: state.version,
      dispatcher,
      evacuations: state.evacuations.map(({ dataCentre, since }) => ({
        dataCentre,
        ageMilliseconds: Math.round(timers.wallClock() - since),
      })),
    });
  }

  #checkWait(): void {
    const { timers, countConnectedDispatchers, changed } = this.#options;
    const now = timers.now();
    const elapsed = Math.min(maximumStepMilliseconds, now - this.#checkedAt);
    this.#checkedAt = now;
    // A dispatcher that sends no state has an earlier version or the option off, and counts as one without proof.
    if (countConnectedDispatchers() === 0) this.#waitedMilliseconds = 0;
    else this.#waitedMilliseconds += elapsed;
    if (this.#waitedMilliseconds < maximumWaitMilliseconds) return;
    this.#endWait('no dispatcher has a proof of control');
    changed();
  }

  #endWait(reason: string): void {
    this.#isWaiting = false;
    this.#checkTimer?.cancel();
    this.#options.logger.info('starts allowed by the state of evacuations', {
      reason,
      evacuationVersion: this.version ?? 'none',
    });
  }
}
