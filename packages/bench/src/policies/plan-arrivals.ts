/** Plans the arrivals of a scenario from a seed. */
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import type {
  DeclaredResources,
  Milliseconds,
  TeamName,
} from '@cranberryturn/types';

import type { DeploymentShape } from '../load/deployment-shape.js';
import { drawExponential } from '../load/draw-exponential.js';
import { planLoad } from '../load/plan-load.js';
import { scaleLoad } from '../load/scale-load.js';
import { Declarations, type Scenario } from './scenarios.js';

/** One job of a scenario. */
export interface PlannedArrival {
  readonly at: Milliseconds;
  readonly jobId: string;
  readonly team: TeamName;
  readonly idempotent: boolean;
  /** Run time of each task. */
  readonly runs: readonly Milliseconds[];
  /** Processors that each task uses, which may differ from the declared ones. */
  readonly processors: number;
  readonly declared: readonly (DeclaredResources | undefined)[];
  /** Position of the dispatcher to which it is submitted. */
  readonly dispatcher: number;
}

/** Start of the burst as a share of the duration. */
const burstStartShare = 0.4;
/** Duration of a burst. */
export const burstMilliseconds: Milliseconds = 2_000;
const meanRunMilliseconds: Milliseconds = 349;
const longTaskShare = 0.01;
const misdeclaredShare = 1 / 3;
const misdeclarationFactor = 10;
const smallTaskProcessors = 4;
const largeTaskProcessors = 12;

/** Plans the arrivals of a scenario. The same seed gives the same plan. */
export function planArrivals(
  scenario: Scenario,
  seed: number,
): readonly PlannedArrival[] {
  const { requests } = scenario;
  return requests === undefined
    ? planEqualJobs(scenario, seed)
    : planRequests(scenario, requests, seed);
}

function planEqualJobs(
  scenario: Scenario,
  seed: number,
): readonly PlannedArrival[] {
  const random = createRandomSource(seed);
  const arrivals: PlannedArrival[] = [];
  let at = drawGap(scenario, random, 0);
  while (at <= scenario.durationMilliseconds) {
    const runs = Array.from({ length: scenario.tasksPerJob }, () =>
      drawRunTime(random),
    );
    arrivals.push({
      at,
      jobId: `job-${String(arrivals.length + 1)}`,
      team: 'planning',
      idempotent: scenario.idempotent,
      runs,
      ...declareSizes(scenario, runs, arrivals.length),
      dispatcher: random.below(scenario.dispatchers),
    });
    at += drawGap(scenario, random, at);
  }
  return arrivals;
}

function planRequests(
  scenario: Scenario,
  shape: DeploymentShape,
  seed: number,
): readonly PlannedArrival[] {
  const random = createRandomSource(seed);
  const wrong = scenario.declarations === Declarations.OftenWrong;
  const plan = planLoad({
    shape,
    seed,
    durationMilliseconds: scenario.durationMilliseconds,
    loadFraction: scenario.load,
    misdeclaredShare: wrong ? misdeclaredShare : 0,
  });
  return scaleLoad(plan, scenario.load).jobs.map(job => ({
    at: job.at,
    jobId: job.jobId,
    team: job.team,
    idempotent: job.idempotent,
    runs: job.tasks.map(task => task.runMilliseconds),
    processors: 0,
    declared: job.tasks.map(task => task.declared),
    dispatcher: random.below(scenario.dispatchers),
  }));
}

/** With misdeclared sizes, every second job declares ten times too many processors and the others ten times too few. */
function declareSizes(
  scenario: Scenario,
  runs: readonly Milliseconds[],
  number: number,
): Pick<PlannedArrival, 'processors' | 'declared'> {
  if (!scenario.hasMisdeclaredSizes) {
    const declared = runs.map(run => declareRun(scenario, run));
    return { processors: 0, declared };
  }
  const small = number % 2 === 0;
  const processors = small ? smallTaskProcessors : largeTaskProcessors;
  const factor = small ? misdeclarationFactor : 1 / misdeclarationFactor;
  const declared = runs.map(() => ({ processors: processors * factor }));
  return { processors, declared };
}

function declareRun(
  { declarations }: Scenario,
  runMilliseconds: Milliseconds,
): DeclaredResources | undefined {
  switch (declarations) {
    case Declarations.None:
      return undefined;
    case Declarations.Accurate:
    case Declarations.OftenWrong:
      return { runMilliseconds };
  }
}

function drawGap(
  scenario: Scenario,
  random: RandomSource,
  now: Milliseconds,
): Milliseconds {
  const { workers, slots, load, tasksPerJob, burstFactor } = scenario;
  const jobsPerMillisecond =
    (workers * slots * load) / meanRunMilliseconds / tasksPerJob;
  const rate =
    jobsPerMillisecond * (isBursting(scenario, now) ? burstFactor : 1);
  return drawExponential(random) / rate;
}

/** Time at which the burst of a scenario starts, in milliseconds from the start of the scenario. */
export function findBurstStart(scenario: Scenario): Milliseconds {
  return scenario.durationMilliseconds * burstStartShare;
}

function isBursting(scenario: Scenario, now: Milliseconds): boolean {
  const start = findBurstStart(scenario);
  return now >= start && now < start + burstMilliseconds;
}

/** Draws 50 ms to 1 s on a logarithmic scale for most tasks and 2 s to 5 s for one in a hundred. */
function drawRunTime(random: RandomSource): Milliseconds {
  if (random.fraction() < longTaskShare)
    return 2_000 + random.fraction() * 3_000;
  return 50 * 20 ** random.fraction();
}
