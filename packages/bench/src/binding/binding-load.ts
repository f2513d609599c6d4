/** The load of the comparison of ways to bind tasks to workers: three kinds of jobs, uneven workers, a wave. */
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import type { Milliseconds } from '@cranberryturn/types';

import { drawExponential } from '../load/draw-exponential.js';

/** A kind of job. */
export interface JobKind {
  readonly name: string;
  readonly priority: number;
  readonly jobsPerSecond: number;
  /** Mean number of tasks. */
  readonly width: number;
  readonly maximumWidth: number;
  /** Mean run time of a task on a worker of speed 1. */
  readonly runMilliseconds: Milliseconds;
}

/** One task of a planned job. */
export interface PlannedTask {
  readonly processors: number;
  /** Run time on a worker of speed 1. */
  readonly runMilliseconds: Milliseconds;
}

/** One job of the load. */
export interface PlannedJob {
  readonly kind: JobKind;
  readonly at: Milliseconds;
  /** Position of the dispatcher that receives it. */
  readonly dispatcher: number;
  readonly tasks: readonly PlannedTask[];
  /** Run time that the caller declares, for each of its tasks. */
  readonly declaredMilliseconds: Milliseconds;
  /** Response time within which the job is in time. */
  readonly objectiveMilliseconds: Milliseconds;
}

/** Size and speed of a worker. */
export interface WorkerShape {
  readonly processors: number;
  readonly speed: number;
}

/** The load to plan. */
export interface BindingLoad {
  readonly seed: number;
  /** Multiple of the usual load. */
  readonly factor: number;
  readonly dispatchers: number;
  readonly workers: number;
  readonly durationMilliseconds: Milliseconds;
}

export const jobKinds: readonly JobKind[] = [
  {
    name: 'lookup',
    priority: 0,
    jobsPerSecond: 26.5,
    width: 8,
    maximumWidth: 32,
    runMilliseconds: 85.7,
  },
  {
    name: 'approval',
    priority: 1,
    jobsPerSecond: 77,
    width: 2,
    maximumWidth: 8,
    runMilliseconds: 285.7,
  },
  {
    name: 'reconciliation',
    priority: 2,
    jobsPerSecond: 4.8,
    width: 4,
    maximumWidth: 16,
    runMilliseconds: 1_285.7,
  },
];

/** Number of workers that the rates of the kinds are meant for. */
const usualWorkers = 11;
const spread = 0.4;
const unevenness = 0.15;
const meanProcessors = 3.1;
const processorSpread = 0.2;
const maximumProcessors = 4.7;
const slackFactor = 1.6;
const targetMilliseconds: Milliseconds = 60;
const waveMilliseconds: Milliseconds = 11_000;
const waveSwing = 0.15;
const millisecondsPerSecond = 1_000;

/** Sizes and speeds of the workers: every third is larger and faster. */
export function planWorkers(workers: number): readonly WorkerShape[] {
  return Array.from({ length: workers }, (_, position) =>
    position % 3 === 2
      ? { processors: 48, speed: 1.3 }
      : { processors: 32, speed: 1 },
  );
}

/** Plans the jobs of a load in the order of their arrival. The same load gives the same plan. */
export function planJobs(load: BindingLoad): readonly PlannedJob[] {
  const random = createRandomSource(load.seed);
  return jobKinds
    .flatMap(kind => planKind(kind, load, random))
    .toSorted((left, right) => left.at - right.at);
}

function planKind(
  kind: JobKind,
  load: BindingLoad,
  random: RandomSource,
): readonly PlannedJob[] {
  const jobs: PlannedJob[] = [];
  const rate =
    (kind.jobsPerSecond * load.factor * load.workers) /
    usualWorkers /
    millisecondsPerSecond;
  const peakRate = rate * (1 + waveSwing);
  let at = drawExponential(random) / peakRate;
  while (at < load.durationMilliseconds) {
    const wave =
      1 + waveSwing * Math.sin((2 * Math.PI * at) / waveMilliseconds);
    if (random.fraction() * peakRate < rate * wave)
      jobs.push(planJob(kind, at, load, random));
    at += drawExponential(random) / peakRate;
  }
  return jobs;
}

function planJob(
  kind: JobKind,
  at: Milliseconds,
  { dispatchers }: BindingLoad,
  random: RandomSource,
): PlannedJob {
  const width = Math.min(
    kind.maximumWidth,
    Math.max(1, Math.round(drawAround(kind.width, spread, random))),
  );
  const jobMilliseconds = drawAround(kind.runMilliseconds, spread, random);
  const processors = Math.min(
    maximumProcessors,
    drawAround(meanProcessors, processorSpread, random),
  );
  const tasks = Array.from({ length: width }, () => ({
    processors: Math.round(processors * 10) / 10,
    runMilliseconds: drawAround(jobMilliseconds, unevenness, random),
  }));
  const longest = Math.max(...tasks.map(task => task.runMilliseconds));
  return {
    kind,
    at,
    dispatcher: random.below(dispatchers),
    tasks,
    declaredMilliseconds: drawAround(jobMilliseconds, spread, random),
    objectiveMilliseconds: slackFactor * longest + targetMilliseconds,
  };
}

/** Draws from a log-normal distribution with the given mean and relative spread. */
function drawAround(
  mean: number,
  relativeSpread: number,
  random: RandomSource,
): number {
  const variance = Math.log(1 + relativeSpread * relativeSpread);
  const normal =
    Math.sqrt(2 * drawExponential(random)) *
    Math.cos(2 * Math.PI * random.fraction());
  return mean * Math.exp(Math.sqrt(variance) * normal - variance / 2);
}
