/** Plans the arrivals of an open-loop load from a seed. */
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import type {
  DeclaredResources,
  JobId,
  Milliseconds,
  ServiceName,
  TaskId,
  TeamName,
} from '@cranberryturn/types';

import { drawExponential } from './draw-exponential.js';
import {
  countSlots,
  type DeploymentShape,
  longRunMaximumMilliseconds,
  longRunMinimumMilliseconds,
  computeMeanWorkMilliseconds,
  type RequestShape,
  type RunTimeShape,
} from './deployment-shape.js';

/** One task of a planned job. */
export interface PlannedTask {
  readonly taskId: TaskId;
  readonly runMilliseconds: Milliseconds;
  readonly answerBytes: number;
  readonly declared?: DeclaredResources | undefined;
}

/** One job that a caller will submit. */
export interface PlannedJob {
  /** Intended time of submission, from the start of the load. */
  readonly at: Milliseconds;
  readonly jobId: JobId;
  readonly request: string;
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly idempotent: boolean;
  readonly deadlineMilliseconds: Milliseconds;
  readonly tasks: readonly PlannedTask[];
}

/** All jobs of a load, in order of arrival. */
export interface LoadPlan {
  readonly seed: number;
  readonly shape: DeploymentShape;
  readonly jobs: readonly PlannedJob[];
}

/** An interval with a higher arrival rate. */
export interface Burst {
  readonly at: Milliseconds;
  readonly durationMilliseconds: Milliseconds;
  /** Arrival rate during the burst, as a multiple of the regular rate. */
  readonly factor: number;
}

/** Parameters of a load. */
export interface LoadOptions {
  readonly shape: DeploymentShape;
  readonly seed: number;
  readonly durationMilliseconds: Milliseconds;
  /** Fraction of the slots that the load keeps busy on average. */
  readonly loadFraction: number;
  readonly bursts?: readonly Burst[] | undefined;
  /** Fraction of tasks with a declared run time that is wrong by a factor of 10, half too high and half too low. */
  readonly misdeclaredShare?: number | undefined;
  readonly deadlineMilliseconds?: Milliseconds | undefined;
  /** Prefix of each job identifier; keeps identifiers unique when several plans run on one system. */
  readonly prefix?: string | undefined;
}

const defaultDeadlineMilliseconds: Milliseconds = 30_000;
const misdeclarationFactor = 10;

/** Plans the arrivals of a load. The same options give the same plan. */
export function planLoad(options: LoadOptions): LoadPlan {
  const { shape, seed } = options;
  const random = createRandomSource(seed);
  const capacity = countSlots(shape) * options.loadFraction;
  const meanGap = computeMeanWorkMilliseconds(shape) / capacity;
  const jobs: PlannedJob[] = [];
  let at = 0;
  for (;;) {
    at +=
      (drawExponential(random) * meanGap) / getRateFactor(options.bursts, at);
    if (at >= options.durationMilliseconds) break;
    jobs.push(planJob(options, random, at, jobs.length));
  }
  return { seed, shape, jobs };
}

function getRateFactor(
  bursts: readonly Burst[] | undefined,
  at: Milliseconds,
): number {
  const burst = bursts?.find(
    one => at >= one.at && at < one.at + one.durationMilliseconds,
  );
  return burst?.factor ?? 1;
}

function planJob(
  options: LoadOptions,
  random: RandomSource,
  at: Milliseconds,
  position: number,
): PlannedJob {
  const { shape } = options;
  const request = chooseRequest(shape.requests, random);
  const spread = request.maximumTasks - request.minimumTasks + 1;
  const tasks = request.minimumTasks + random.below(spread);
  return {
    at,
    jobId: `${options.prefix ?? shape.name}-${String(options.seed)}-${String(position)}`,
    request: request.name,
    service: shape.service,
    team: request.team,
    idempotent: request.idempotent,
    deadlineMilliseconds:
      options.deadlineMilliseconds ?? defaultDeadlineMilliseconds,
    tasks: Array.from({ length: tasks }, (_, task) =>
      planTask(options, random, request, task),
    ),
  };
}

function chooseRequest(
  requests: readonly RequestShape[],
  random: RandomSource,
): RequestShape {
  const total = requests.reduce((sum, one) => sum + one.weight, 0);
  let left = random.fraction() * total;
  for (const request of requests) {
    left -= request.weight;
    if (left < 0) return request;
  }
  throw new RangeError('A deployment shape needs a request with a weight.');
}

function planTask(
  options: LoadOptions,
  random: RandomSource,
  request: RequestShape,
  position: number,
): PlannedTask {
  const runMilliseconds = drawRunTime(request.runTime, random);
  const misdeclared = random.fraction() < (options.misdeclaredShare ?? 0);
  const factor =
    random.below(2) === 0 ? 1 / misdeclarationFactor : misdeclarationFactor;
  return {
    taskId: `task-${String(position)}`,
    runMilliseconds,
    answerBytes: request.answerBytes,
    declared: {
      processors: 1,
      runMilliseconds: runMilliseconds * (misdeclared ? factor : 1),
    },
  };
}

function drawRunTime(shape: RunTimeShape, random: RandomSource): Milliseconds {
  const long = random.fraction() < shape.longShare;
  const minimum = long ? longRunMinimumMilliseconds : shape.minimumMilliseconds;
  const maximum = long ? longRunMaximumMilliseconds : shape.maximumMilliseconds;
  return Math.round(minimum + random.fraction() * (maximum - minimum));
}
