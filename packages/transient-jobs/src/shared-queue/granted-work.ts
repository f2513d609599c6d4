/** Measures the work granted by priority, as an exponentially weighted rate. */
import type { Milliseconds } from '@cranberryturn/types';

const timeConstantMilliseconds: Milliseconds = 1_000;

interface Rate {
  value: number;
  updatedAt: Milliseconds;
}

/** The rate of granted work, in processors. */
export class GrantedWork {
  readonly #rates = new Map<number, Rate>();

  /** Adds granted work, in processor-milliseconds. */
  add(priority: number, work: number, now: Milliseconds): void {
    const rate = this.#rates.get(priority) ?? { value: 0, updatedAt: now };
    rate.value = decay(rate, now) + work / timeConstantMilliseconds;
    rate.updatedAt = now;
    this.#rates.set(priority, rate);
  }

  /** Rate of the work that is more urgent than the priority. */
  measureMoreUrgent(priority: number, now: Milliseconds): number {
    let sum = 0;
    for (const [other, rate] of this.#rates)
      if (other < priority) sum += decay(rate, now);
    return sum;
  }
}

function decay({ value, updatedAt }: Rate, now: Milliseconds): number {
  return value * Math.exp((updatedAt - now) / timeConstantMilliseconds);
}
