/** Measures how much of the recent time each queue has had active runs at a worker. */
import type {
  Milliseconds,
  QueueName,
  QueuePresence,
} from '@cranberryturn/types';

const averagingMilliseconds: Milliseconds = 5_000;
/** Queues below this share are no longer kept. */
const minimumShare = 0.01;

interface QueueState {
  activeRuns: number;
  share: number;
  updatedAt: Milliseconds;
}

/** The presence of all queues at one worker, over its incarnations. Time without a worker does not count. */
export class QueuePresences {
  readonly #queues = new Map<QueueName, QueueState>();
  #pausedAt: Milliseconds | undefined;
  /** Weight of the time measured so far, which grows to 1. */
  #weight = 0;
  #weighedAt: Milliseconds | undefined;

  /** Records the start of a run; also ends a pause. */
  addRun(queue: QueueName, now: Milliseconds): void {
    this.#resume(now);
    this.#weigh(now);
    const state = this.#queues.get(queue) ?? {
      activeRuns: 0,
      share: 0,
      updatedAt: now,
    };
    this.#queues.set(queue, state);
    update(state, now);
    state.activeRuns += 1;
  }

  /** Records the end of a run. */
  removeRun(queue: QueueName, now: Milliseconds): void {
    const state = this.#queues.get(queue);
    if (state === undefined) return;
    if (this.#pausedAt === undefined) update(state, now);
    state.activeRuns = Math.max(0, state.activeRuns - 1);
  }

  /** Stops the measurement until a run starts, as the worker has crashed. */
  pause(now: Milliseconds): void {
    if (this.#pausedAt !== undefined) return;
    this.#weigh(now);
    for (const state of this.#queues.values()) update(state, now);
    this.#pausedAt = now;
  }

  list(now: Milliseconds): readonly QueuePresence[] {
    this.#weigh(now);
    const presences: QueuePresence[] = [];
    for (const [queue, state] of this.#queues) {
      if (this.#pausedAt === undefined) update(state, now);
      if (state.activeRuns === 0 && state.share < minimumShare)
        this.#queues.delete(queue);
      else presences.push({ queue, share: this.#correctShare(state.share) });
    }
    return presences;
  }

  /** Averages begin at 0, and would be too low until they cover their whole time. */
  #correctShare(share: number): number {
    return this.#weight === 0 ? 0 : Math.min(1, share / this.#weight);
  }

  #weigh(now: Milliseconds): void {
    if (this.#pausedAt !== undefined) return;
    const elapsedMilliseconds = now - (this.#weighedAt ?? now);
    this.#weight += (1 - this.#weight) * computeWeight(elapsedMilliseconds);
    this.#weighedAt = now;
  }

  #resume(now: Milliseconds): void {
    if (this.#pausedAt === undefined) return;
    this.#pausedAt = undefined;
    this.#weighedAt = now;
    for (const state of this.#queues.values()) state.updatedAt = now;
  }
}

function update(state: QueueState, now: Milliseconds): void {
  const elapsedMilliseconds = now - state.updatedAt;
  const weight = computeWeight(elapsedMilliseconds);
  const isPresent = state.activeRuns > 0 ? 1 : 0;
  state.share += (isPresent - state.share) * weight;
  state.updatedAt = now;
}

function computeWeight(elapsedMilliseconds: Milliseconds): number {
  return 1 - Math.exp(-elapsedMilliseconds / averagingMilliseconds);
}
