/**
 * Chooses a worker for each task so that the last task of the job ends early. Answers a load in
 * which several dispatchers fill the same workers, workers differ in size and speed, and reports
 * of their load are some hundred milliseconds old.
 */
import { findMissingResource } from '@cranberryturn/placement';
import type { RandomSource } from '@cranberryturn/random';
import type { Milliseconds } from '@cranberryturn/types';

import {
  countFreeProcessors,
  countRecentWork,
  countWorkAhead,
  isUsable,
  type KnownWorker,
} from './known-worker.js';
import type { JobStep } from './transient-job.js';

/** Dispatchers that see the same report choose different workers among nearly equal ones. */
const choiceNoise: Milliseconds = 6;
/** A fuller worker is more likely to have been filled by others since its report. */
const fullnessPenalty: Milliseconds = 20;
/** Above any expected end of a task, so that every other worker is better. */
const avoidedPenalty: Milliseconds = 1_000_000;
/** A worker in another data centre answers later by a round trip. */
const remotePenalty: Milliseconds = 2;

/** What is to be placed. */
export interface PlacementQuestion {
  readonly step: JobStep;
  readonly priority: number;
  /** Expected run time of a task on a worker of ordinary speed. */
  readonly estimate: Milliseconds;
  readonly tasks: number;
  readonly dataCentre: string;
  /** How much longer a task takes away from its data. */
  readonly remoteFactor: number;
  /** Workers where the tasks failed, were refused or were slow: taken only when there is no other. */
  readonly excluded: ReadonlySet<string>;
  /** Tasks of the step that each worker has already. */
  readonly placed: ReadonlyMap<string, number>;
}

/** A worker with the time at which a further task is expected to end there. */
interface Candidate {
  readonly known: KnownWorker;
  free: number;
  ahead: number;
  tasks: number;
}

/** One worker and the number of tasks that it gets. */
export interface ChosenWorker {
  readonly known: KnownWorker;
  readonly tasks: number;
  /** Longest time for which one of them is expected to wait. */
  readonly waitMilliseconds: Milliseconds;
}

/** Chooses workers for as many of the tasks as any worker can take. */
export function chooseWorkers(
  question: PlacementQuestion,
  workers: Iterable<KnownWorker>,
  random: RandomSource,
  now: Milliseconds,
): readonly ChosenWorker[] {
  const candidates = listCandidates(question, workers, now);
  const waits = new Map<Candidate, Milliseconds>();
  for (let task = 0; task < question.tasks; task += 1) {
    const best = chooseOne(question, candidates, random);
    if (best === undefined) break;
    // Each further task of a worker waits longer than the one before.
    waits.set(best, expectEnd(question, best).wait);
    addTask(question, best);
  }
  return [...waits].map(([{ known, tasks }, waitMilliseconds]) => ({
    known,
    tasks,
    waitMilliseconds,
  }));
}

function listCandidates(
  { step, priority }: PlacementQuestion,
  workers: Iterable<KnownWorker>,
  now: Milliseconds,
): readonly Candidate[] {
  const candidates: Candidate[] = [];
  for (const known of workers) {
    if (!isUsable(known, now)) continue;
    if (!canEverHold(known, step)) continue;
    candidates.push({
      known,
      free: countFreeProcessors(known),
      ahead: countWorkAhead(known, priority) + countRecentWork(known),
      tasks: 0,
    });
  }
  return candidates;
}

/** Whether the worker could hold a task of the step with nothing else at work. */
export function canEverHold(
  { worker }: KnownWorker,
  { need }: JobStep,
): boolean {
  const { capacity, labels } = worker;
  if (need.label !== undefined && !labels.includes(need.label)) return false;
  return findMissingResource(capacity, need) === undefined;
}

function chooseOne(
  question: PlacementQuestion,
  candidates: readonly Candidate[],
  random: RandomSource,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    if (isFull(question, candidate)) continue;
    const score =
      scoreCandidate(question, candidate) + random.fraction() * choiceNoise;
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

function isFull(
  { step, placed }: PlacementQuestion,
  { known, tasks }: Candidate,
): boolean {
  if (step.mostPerWorker === undefined) return false;
  return (placed.get(known.workerId) ?? 0) + tasks >= step.mostPerWorker;
}

function scoreCandidate(
  question: PlacementQuestion,
  candidate: Candidate,
): Milliseconds {
  const { capacity, dataCentre } = candidate.known.worker;
  const used = 1 - Math.max(0, candidate.free) / capacity.processors;
  const distance = dataCentre === question.dataCentre ? 0 : remotePenalty;
  const avoided = question.excluded.has(candidate.known.workerId)
    ? avoidedPenalty
    : 0;
  const { wait, run } = expectEnd(question, candidate);
  const { delay } = candidate.known;
  return wait + run + delay + used * fullnessPenalty + distance + avoided;
}

interface ExpectedEnd {
  readonly wait: Milliseconds;
  readonly run: Milliseconds;
}

/** Expected times until one more task starts on the worker, and from then until it ends. */
function expectEnd(
  { step, estimate, remoteFactor }: PlacementQuestion,
  { known, free, ahead }: Candidate,
): ExpectedEnd {
  const { capacity, labels } = known.worker;
  const isNear =
    step.dataLabel === undefined || labels.includes(step.dataLabel);
  const run = (estimate * (isNear ? 1 : remoteFactor)) / known.speed;
  const missing = step.need.processors - free;
  if (missing <= 0) return { wait: 0, run };
  const busy = Math.max(1, capacity.processors - Math.max(0, free));
  // Work in progress frees its processors evenly over the time that it has left.
  const untilFree = (missing / busy) * (known.load.runningWork / busy);
  return { wait: ahead / capacity.processors + untilFree, run };
}

function addTask(
  { step, estimate }: PlacementQuestion,
  candidate: Candidate,
): void {
  const { processors } = step.need;
  candidate.tasks += 1;
  candidate.free -= processors;
  if (candidate.free < 0) candidate.ahead += processors * estimate;
}
