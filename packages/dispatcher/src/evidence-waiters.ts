/** Waits for the answers of sidecar runs to fences. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import {
  type JobEvidence,
  ToTargetKind,
  type ToTargetMessage,
} from '@cranberryturn/wire';

type FenceMessage = Extract<
  ToTargetMessage,
  { readonly kind: ToTargetKind.FenceJob }
>;

interface Waiter {
  readonly run: string;
  readonly message: FenceMessage;
  readonly resolve: (evidence: JobEvidence | undefined) => void;
}

/** Fences whose answers are awaited. */
export class EvidenceWaiters {
  readonly #timers: TimerService;
  readonly #waiters = new Set<Waiter>();

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Resolves with the evidence, or with undefined after the timeout. */
  wait(
    run: string,
    message: FenceMessage,
    timeoutMilliseconds: Milliseconds,
  ): Promise<JobEvidence | undefined> {
    return new Promise(resolve => {
      const expiry = this.#timers.after(timeoutMilliseconds, () => {
        waiter.resolve(undefined);
      });
      const waiter: Waiter = {
        run,
        message,
        resolve: evidence => {
          expiry.cancel();
          this.#waiters.delete(waiter);
          resolve(evidence);
        },
      };
      this.#waiters.add(waiter);
    });
  }

  /** Fences to send to a run that has just connected. */
  listWaiting(run: string): readonly FenceMessage[] {
    return [...this.#waiters]
      .filter(waiter => waiter.run === run)
      .map(waiter => waiter.message);
  }

  settle(run: string, evidence: JobEvidence): void {
    for (const waiter of [...this.#waiters]) {
      if (waiter.run !== run || !isAnswer(waiter.message, evidence)) continue;
      waiter.resolve(evidence);
    }
  }

  /** The run is gone for good. */
  giveUp(run: string): void {
    for (const waiter of [...this.#waiters]) {
      if (waiter.run === run) waiter.resolve(undefined);
    }
  }
}

function isAnswer(message: FenceMessage, evidence: JobEvidence): boolean {
  return message.jobId === evidence.jobId && message.epoch === evidence.epoch;
}
