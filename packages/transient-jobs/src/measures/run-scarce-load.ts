/** Offers the load of the comparison to dispatchers and workers in memory, with faults during the burst. */
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import type { Milliseconds } from '@cranberryturn/types';
import { WorkerRunOutcome } from '@cranberryturn/worker-gate';

import { getItem } from '../fakes/get-item.js';
import {
  createJob,
  createQueue,
  type FakeHost,
  type JobsFixture,
  startJobsFixture,
} from '../fakes/jobs-fixture.js';
import type { ScarcitySettings } from '../scarcity/scarcity-settings.js';
import { type TransientJobEnd, TransientJobEndKind } from '../transient-job.js';
import {
  type Arrival,
  burstEnd,
  burstStart,
  computeKindObjective,
  drawRunTime,
  jobKinds,
  planArrivals,
} from './scarce-load.js';

const dispatchers = 5;
const workersOfThePage = 53;
/** Slots of the workers, in turn; 792 slots in all at full scale. */
const slots = [10, 15, 20] as const;
/** Relative speeds of the workers, in turn. */
const speeds = [1, 1.25, 0.85, 1] as const;
const cutOffShare = 0.1;
const leavingShare = 0.13;
const failingShare = 0.1;
const drainMilliseconds: Milliseconds = 8_000;
/** A result later than this multiple of the objective has no value, and its caller no longer waits. */
const latestUsefulFactor = 3;

/** How the load is offered. */
export interface LoadOptions {
  readonly seed: number;
  /** Size of the load and of the workers, relative to the page. */
  readonly scale: number;
  /** Factor by which the longest kind arrives more often during the burst. */
  readonly burstFactor: number;
  /** Whether a refused caller returns once after the time that the refusal names. */
  readonly callersReturn: boolean;
  /** Settings of admission under scarcity; disabled when undefined. */
  readonly scarcity: ScarcitySettings | undefined;
}

/** What a caller got. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly objective: Milliseconds;
  end: TransientJobEnd | undefined;
  /** Time from the first arrival to the end. */
  elapsed: Milliseconds;
  /** Time from the first arrival to the first refusal. */
  refusedAfter: Milliseconds | undefined;
}

/** Runs the load to its end. */
export async function runScarceLoad(options: LoadOptions): Promise<{
  readonly outcomes: readonly Outcome[];
  readonly fixture: JobsFixture;
}> {
  const random = createRandomSource(options.seed);
  const fixture = await startJobsFixture({
    dispatchers,
    workers: Math.round(workersOfThePage * options.scale),
    scarcity: options.scarcity,
    processors: position => getItem(slots, position % slots.length),
  });
  const { timers, hosts } = fixture;
  hosts.forEach((host, position) => {
    setRunTimes(host, position, random);
  });
  const begin = timers.now();
  timers.after(burstStart, () => {
    beginFaults(fixture);
  });
  timers.after(burstEnd, () => {
    endFaults(fixture, random);
  });
  const outcomes: Outcome[] = [];
  for (const arrival of planArrivals(
    random,
    options.scale,
    options.burstFactor,
  )) {
    await timers.advance(begin + arrival.at - timers.now());
    outcomes.push(submit(fixture, random, arrival, options));
  }
  await timers.advance(drainMilliseconds);
  return { outcomes, fixture };
}

function setRunTimes(
  host: FakeHost,
  position: number,
  random: RandomSource,
): void {
  const speed = getItem(speeds, position % speeds.length);
  host.worker.chooseRunMilliseconds = ({ jobId }) => {
    const kind = jobKinds.find(one => jobId.startsWith(one.queue));
    return kind === undefined ? undefined : drawRunTime(kind, speed, random);
  };
}

function submit(
  fixture: JobsFixture,
  random: RandomSource,
  arrival: Arrival,
  { callersReturn }: LoadOptions,
): Outcome {
  const { timers } = fixture;
  const { kind, jobId, width } = arrival;
  const objective = computeKindObjective(kind);
  const outcome: Outcome = {
    arrival,
    objective,
    end: undefined,
    elapsed: 0,
    refusedAfter: undefined,
  };
  const arrivedAt = timers.now();
  // The second dispatcher gets twice the traffic of the others.
  const position = Math.max(0, random.below(dispatchers + 1) - 1);
  const dispatcher = getItem(fixture.dispatchers, position);
  const submitOnce = (mayReturn: boolean): void => {
    const remaining = latestUsefulFactor * objective - timers.now() + arrivedAt;
    const submitted = dispatcher.jobs.submit(
      createJob(jobId, width, {
        queue: createQueue({
          queue: kind.queue,
          priority: kind.priority,
          maximumFailures: 3,
        }),
        step: { estimatedMilliseconds: arrival.declaredMilliseconds },
        deadlineMilliseconds: remaining,
      }),
    );
    void submitted.ended.then(end => {
      outcome.end = end;
      outcome.elapsed = timers.now() - arrivedAt;
      if (end.kind !== TransientJobEndKind.Refused) return;
      outcome.refusedAfter ??= outcome.elapsed;
      const pause = end.retryAfterMilliseconds ?? Infinity;
      if (!mayReturn || pause >= remaining) return;
      timers.after(pause, () => {
        submitOnce(false);
      });
    });
  };
  submitOnce(callersReturn);
  return outcome;
}

/** Positions of the workers that a fault affects: cut off first, then those that leave, then those that fail. */
function chooseFaulty(hosts: readonly FakeHost[]): {
  readonly cutOff: readonly FakeHost[];
  readonly leaving: readonly FakeHost[];
  readonly failing: readonly FakeHost[];
} {
  const cutOffEnd = Math.round(hosts.length * cutOffShare);
  const leavingEnd = cutOffEnd + Math.round(hosts.length * leavingShare);
  const failingEnd = leavingEnd + Math.round(hosts.length * failingShare);
  return {
    cutOff: hosts.slice(0, cutOffEnd),
    leaving: hosts.slice(cutOffEnd, leavingEnd),
    failing: hosts.slice(leavingEnd, failingEnd),
  };
}

function beginFaults({ hosts, network, dispatchers: all }: JobsFixture): void {
  const { cutOff, leaving, failing } = chooseFaulty(hosts);
  for (const { name } of cutOff) {
    for (const dispatcher of all) network.partition(dispatcher.name, name);
  }
  for (const { worker } of leaving) worker.crash();
  for (const { worker } of failing)
    worker.nextOutcome = WorkerRunOutcome.Failed;
}

function endFaults(
  { hosts, network, dispatchers: all }: JobsFixture,
  random: RandomSource,
): void {
  const { cutOff, leaving, failing } = chooseFaulty(hosts);
  for (const { name } of cutOff) {
    for (const dispatcher of all) network.heal(dispatcher.name, name);
  }
  for (const host of leaving) {
    host.restartWorker();
    setRunTimes(host, hosts.indexOf(host), random);
  }
  for (const { worker } of failing) worker.nextOutcome = WorkerRunOutcome.Done;
}
