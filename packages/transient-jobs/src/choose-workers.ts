/**
 * Chooses a worker for each task so that the last task of the job ends early. Designed for several
 * dispatchers that share the same workers, workers of different size and speed, and load reports
 * that are some hundred milliseconds old.
 */
import { findMissingResource } from '@cranberryturn/placement';
import type { RandomSource } from '@cranberryturn/random';
import type {
  Milliseconds,
  WorkerResources,
  WorkerRun,
} from '@cranberryturn/types';

import type { HostRestriction } from './crashes/crash-containment.js';
import { estimateUntilFree } from './estimate-until-free.js';
import {
  estimateFreeProcessors,
  hasFreeMemory,
  sumUnreportedWork,
  sumWorkAhead,
  isUsable,
  type KnownWorker,
} from './known-worker.js';
import type { JobStep } from './transient-job.js';

/** Random part of a score, so that dispatchers with the same load report choose different workers among near equals. */
const choiceNoiseMilliseconds: Milliseconds = 6;
/** Penalty of a fully used worker: other dispatchers are more likely to have filled it since its last report. */
const utilizationPenaltyMilliseconds: Milliseconds = 20;
/** Penalty of a host that queues are confined to after crashes: its worker may crash again. */
const avoidedHostPenaltyMilliseconds: Milliseconds = 200;
/** Exceeds any expected end of a task, so that an excluded worker is chosen only when no other is left. */
const exclusionPenaltyMilliseconds: Milliseconds = 1_000_000;
/** Added round trip time of a worker in another data centre. */
const remotePenaltyMilliseconds: Milliseconds = 2;

/** The tasks to place and the constraints on their workers. */
export interface PlacementRequest {
  readonly step: Partial<JobStep> & Pick<JobStep, 'need'>;
  readonly priority: number;
  /** Expected run time of a task on a worker of average speed. */
  readonly estimateMilliseconds: Milliseconds;
  readonly tasks: number;
  readonly dataCentre: string;
  /** Factor by which a task runs longer on a rack without its input data. */
  readonly remoteFactor: number;
  /** Workers where the tasks failed, were refused or stalled; chosen only when no other is left. */
  readonly excludedWorkers: ReadonlySet<string>;
  /** Whether a worker whose last run failed gets a single task, until that task has ended. */
  readonly probesFailedWorkers?: boolean | undefined;
  /** Where the tasks may be placed after crashes of workers; anywhere when undefined. */
  readonly hosts?: HostRestriction | undefined;
  /** Whether only workers count that can start a task at once. */
  readonly mustStartAtOnce?: boolean | undefined;
  /** Number of tasks of the step already placed, by worker. */
  readonly placedTasks: ReadonlyMap<string, number>;
}

/** A worker with its free processors and queued work, including the tasks chosen so far. */
interface Candidate {
  readonly known: KnownWorker;
  free: number;
  workAhead: number;
  tasks: number;
}

/** A chosen worker and its number of tasks. */
export interface ChosenWorker {
  readonly known: KnownWorker;
  readonly tasks: number;
  /** Longest expected queue wait of these tasks. */
  readonly waitMilliseconds: Milliseconds;
}

/** Chooses workers for as many tasks as possible; tasks that no usable worker can take are left out. */
export function chooseWorkers(
  request: PlacementRequest,
  workers: Iterable<KnownWorker>,
  random: RandomSource,
  now: Milliseconds,
): readonly ChosenWorker[] {
  const candidates = listCandidates(request, workers, now);
  const waits = new Map<Candidate, Milliseconds>();
  for (let task = 0; task < request.tasks; task += 1) {
    const best = chooseCandidate(request, candidates, random);
    if (best === undefined) break;
    // Tasks of one worker wait longer one after the other, so the last wait is the longest.
    waits.set(best, estimateTimes(request, best).waitMilliseconds);
    addTask(request, best);
  }
  return [...waits].map(([{ known, tasks }, waitMilliseconds]) => ({
    known,
    tasks,
    waitMilliseconds,
  }));
}

function listCandidates(
  { step, priority, hosts }: PlacementRequest,
  workers: Iterable<KnownWorker>,
  now: Milliseconds,
): readonly Candidate[] {
  const candidates: Candidate[] = [];
  for (const known of workers) {
    if (!isUsable(known, now)) continue;
    if (!canEverHold(known, step)) continue;
    if (hosts?.confinedTo?.has(known.host) === false) continue;
    candidates.push({
      known,
      free: estimateFreeProcessors(known),
      workAhead: sumWorkAhead(known, priority) + sumUnreportedWork(known),
      tasks: 0,
    });
  }
  return candidates;
}

/** Whether the worker, when idle, could hold a task of the step at its present capacity. */
export function canEverHold(
  { worker }: KnownWorker,
  step: Pick<JobStep, 'need'>,
): boolean {
  return hasResources(worker, worker.capacity, step);
}

/** Whether the worker could hold a task of the step at the largest capacity that it has had. */
export function couldEverHold({ worker }: KnownWorker, step: JobStep): boolean {
  return hasResources(worker, worker.largestCapacity ?? worker.capacity, step);
}

function hasResources(
  { labels }: WorkerRun,
  capacity: WorkerResources,
  { need }: Pick<JobStep, 'need'>,
): boolean {
  if (need.label !== undefined && !labels.includes(need.label)) return false;
  return findMissingResource(capacity, need) === undefined;
}

function chooseCandidate(
  request: PlacementRequest,
  candidates: readonly Candidate[],
  random: RandomSource,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    if (hasMaximumTasks(request, candidate)) continue;
    if (isHeldBack(request, candidate)) continue;
    if (isFull(request, candidate)) continue;
    const score =
      scoreCandidate(request, candidate) +
      random.fraction() * choiceNoiseMilliseconds;
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

function hasMaximumTasks(
  { step, placedTasks, probesFailedWorkers }: PlacementRequest,
  { known, tasks }: Candidate,
): boolean {
  const isProbed =
    probesFailedWorkers === true && known.consecutiveFailures > 0;
  if (isProbed && tasks >= 1) return true;
  if (step.mostPerWorker === undefined) return false;
  return (placedTasks.get(known.workerId) ?? 0) + tasks >= step.mostPerWorker;
}

/** Whether a worker that returns from an evacuation has no capacity in use yet for another task, which does not queue there. */
function isHeldBack(
  { step }: PlacementRequest,
  { known, free }: Candidate,
): boolean {
  return known.heldBackProcessors > 0 && free < step.need.processors;
}

/** Whether a worker has no room for another task that has to start at once. */
function isFull(
  { step, mustStartAtOnce }: PlacementRequest,
  { known, free }: Candidate,
): boolean {
  if (mustStartAtOnce !== true) return false;
  return free < step.need.processors || !hasFreeMemory(known, step.need);
}

function scoreCandidate(
  request: PlacementRequest,
  candidate: Candidate,
): Milliseconds {
  const { capacity, dataCentre } = candidate.known.worker;
  const utilization = 1 - Math.max(0, candidate.free) / capacity.processors;
  const distancePenaltyMilliseconds =
    dataCentre === request.dataCentre ? 0 : remotePenaltyMilliseconds;
  const { workerId, host } = candidate.known;
  const isExcluded =
    request.excludedWorkers.has(workerId) ||
    request.hosts?.excluded.has(host) === true;
  const exclusionMilliseconds = isExcluded ? exclusionPenaltyMilliseconds : 0;
  const avoidanceMilliseconds =
    request.hosts?.avoided.has(host) === true
      ? avoidedHostPenaltyMilliseconds
      : 0;
  const { waitMilliseconds, runMilliseconds } = estimateTimes(
    request,
    candidate,
  );
  const { delayMilliseconds } = candidate.known;
  return (
    waitMilliseconds +
    runMilliseconds +
    delayMilliseconds +
    utilization * utilizationPenaltyMilliseconds +
    distancePenaltyMilliseconds +
    avoidanceMilliseconds +
    exclusionMilliseconds
  );
}

interface ExpectedTimes {
  readonly waitMilliseconds: Milliseconds;
  readonly runMilliseconds: Milliseconds;
}

/** Expected queue wait and run time of one more task on the worker. */
function estimateTimes(
  { step, estimateMilliseconds, remoteFactor }: PlacementRequest,
  { known, free, workAhead }: Candidate,
): ExpectedTimes {
  const { capacity, labels } = known.worker;
  const hasLocalData =
    step.dataLabel === undefined || labels.includes(step.dataLabel);
  const runMilliseconds =
    (estimateMilliseconds * (hasLocalData ? 1 : remoteFactor)) / known.speed;
  const missingProcessors = step.need.processors - free;
  if (missingProcessors <= 0) return { waitMilliseconds: 0, runMilliseconds };
  const untilFreeMilliseconds = estimateUntilFree({
    missingProcessors,
    busyProcessors: capacity.processors - Math.max(0, free),
    runningWork: known.load.runningWork,
  });
  return {
    waitMilliseconds: workAhead / capacity.processors + untilFreeMilliseconds,
    runMilliseconds,
  };
}

function addTask(
  { step, estimateMilliseconds }: PlacementRequest,
  candidate: Candidate,
): void {
  const { processors } = step.need;
  candidate.tasks += 1;
  candidate.free -= processors;
  if (candidate.free < 0)
    candidate.workAhead += processors * estimateMilliseconds;
}
