/** Waits for the evidence with which sidecar runs answer fences. */
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

interface PendingFence {
  readonly run: string;
  readonly message: FenceMessage;
  readonly resolve: (evidence: JobEvidence | undefined) => void;
}

/** Fences whose evidence is awaited. */
export class PendingFences {
  readonly #timers: TimerService;
  readonly #pending = new Set<PendingFence>();

  constructor(timers: TimerService) {
    this.#timers = timers;
  }

  /** Resolves with the evidence, or with undefined after the timeout. */
  waitForEvidence(
    run: string,
    message: FenceMessage,
    timeoutMilliseconds: Milliseconds,
  ): Promise<JobEvidence | undefined> {
    return new Promise(resolve => {
      const expiry = this.#timers.after(timeoutMilliseconds, () => {
        fence.resolve(undefined);
      });
      const fence: PendingFence = {
        run,
        message,
        resolve: evidence => {
          expiry.cancel();
          this.#pending.delete(fence);
          resolve(evidence);
        },
      };
      this.#pending.add(fence);
    });
  }

  /** Lists the fences to send to a run that has just connected. */
  listMessages(run: string): readonly FenceMessage[] {
    return [...this.#pending]
      .filter(fence => fence.run === run)
      .map(fence => fence.message);
  }

  /** Resolves the fences that this evidence answers. */
  resolve(run: string, evidence: JobEvidence): void {
    for (const fence of [...this.#pending]) {
      if (fence.run !== run || !isAnsweredBy(fence.message, evidence)) continue;
      fence.resolve(evidence);
    }
  }

  /** Resolves all fences of a lost run with undefined. */
  abandonRun(run: string): void {
    for (const fence of [...this.#pending]) {
      if (fence.run === run) fence.resolve(undefined);
    }
  }
}

function isAnsweredBy(message: FenceMessage, evidence: JobEvidence): boolean {
  return message.jobId === evidence.jobId && message.epoch === evidence.epoch;
}
