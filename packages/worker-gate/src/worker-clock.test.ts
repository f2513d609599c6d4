/** Deadlines on the clock of the worker are compared with the true time, which neither process knows. */
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import { WorkerClock } from './worker-clock.js';

const validMilliseconds = 1_120;
const sequences = 400;
const steps = 300;
const leastMilliseconds = 0.001;

interface Stamp {
  readonly local: number;
  readonly at: number;
}

interface Reading {
  /** Undefined for a report. */
  readonly sentAt: number | undefined;
  clock: number | undefined;
}

/** A worker whose clock is up to 2 % slow, and a sidecar that is suspended now and then. */
class Simulation {
  readonly #random: RandomSource;
  readonly #rate: number;
  readonly #readings: Reading[] = [];
  readonly #stamps: Stamp[] = [];
  readonly #clock: WorkerClock;
  #now = 0;
  #suspended = 0;
  readonly slack: number[] = [];

  constructor(random: RandomSource) {
    this.#random = random;
    this.#rate = 1 - 0.02 * random.fraction();
    const timers = createManualTimerService();
    this.#clock = new WorkerClock({ ...timers, now: () => this.#local });
  }

  get #local(): number {
    return this.#now - this.#suspended;
  }

  #readWorker(at: number): number {
    return 5_000 + at * this.#rate;
  }

  step(): void {
    const isLong = this.#random.below(8) === 0;
    const duration = this.#random.fraction() * (isLong ? 600 : 15);
    this.#now += duration;
    // Some time passes on either clock between two events.
    this.#now += leastMilliseconds;
    if (this.#random.below(12) === 0) this.#suspended += duration;
    const reading = this.#readings[this.#random.below(this.#readings.length)];
    switch (this.#random.below(5)) {
      case 0:
        this.#readings.push({ sentAt: this.#local, clock: undefined });
        break;
      case 1:
        this.#readings.push({ sentAt: undefined, clock: this.#readWhole() });
        break;
      case 2:
        this.#stamps.push({ local: this.#local, at: this.#now });
        break;
      default:
        if (reading !== undefined) this.#advanceReading(reading);
    }
    for (const stamp of this.#stamps.slice(-4)) this.#check(stamp);
  }

  #readWhole(): number {
    return Math.floor(this.#readWorker(this.#now));
  }

  /** The worker reads its clock, or its reading arrives. */
  #advanceReading(reading: Reading): void {
    if (reading.clock === undefined) {
      reading.clock = this.#readWhole();
      return;
    }
    this.#readings.splice(this.#readings.indexOf(reading), 1);
    if (reading.sentAt === undefined) this.#clock.recordReport(reading.clock);
    else this.#clock.observe(reading.clock, reading.sentAt);
  }

  #check({ local, at }: Stamp): void {
    const deadline = this.#clock.computeDeadline(local, validMilliseconds);
    if (deadline === undefined) return;
    const latest = this.#readWorker(at + validMilliseconds);
    this.slack.push(latest - Math.floor(deadline));
  }
}

test('no order is valid for longer than its stamp allows, however late clocks are read and whatever is suspended', t => {
  let tightest = Infinity;
  for (let seed = 1; seed <= sequences; seed += 1) {
    const simulation = new Simulation(createRandomSource(seed));
    for (let step = 0; step < steps; step += 1) simulation.step();
    const least = Math.min(...simulation.slack);
    if (least < 0) t.fail(`seed ${String(seed)}: ${String(least)} ms`);
    tightest = Math.min(tightest, least);
  }
  t.log(`least slack ${tightest.toFixed(1)} ms`);
  // Otherwise the sequences would not come near the bound.
  t.true(tightest < 10);
});
