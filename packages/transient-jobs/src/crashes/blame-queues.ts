/**
 * Finds the queues whose tasks crash workers. A worker runs tasks of several queues at once, so a single crash
 * blames none. Answers the load in which a share of the jobs of one or two queues has a task that crashes each
 * worker that starts it, many times a second at many workers.
 */
import type { Milliseconds, QueueName } from '@cranberryturn/types';

import type { RecordedCrash } from './crash-ledger.js';

const windowMilliseconds: Milliseconds = 10_000;
const halfLifeMilliseconds: Milliseconds = 5_000;
/**
 * Crashes within this time count as one: hosts that share a rack or a power supply fail together, and their sidecars
 * notice it one after another.
 */
const episodeMilliseconds: Milliseconds = 100;
const minimumEpisodes = 2;
/** Evidence, as the logarithm of a likelihood ratio, from which a queue is blamed. */
const minimumScore = 0.7;
/** How much more evidence there has to be than against any other queue. */
const minimumLead = 0.5;
/**
 * After this many episodes in a short time the likeliest queue is blamed on any evidence. Confined to a few hosts, it
 * either crashes only those, or is cleared by crashes elsewhere: a queue that runs everywhere shows in no other way.
 */
const trialEpisodes = 4;
const trialMilliseconds: Milliseconds = 2_500;
/** Bounds the evidence of a queue that was hardly ever present before. */
const minimumPresence = 0.2;
/** Evidence against a queue that was absent at a crash. Bounded, as tasks of two queues may crash workers at once. */
const absenceScore = -1;
/** Most queues that are confined at the same time. */
const maximumBlamedQueues = 2;

/** A queue whose tasks probably crash workers. */
export interface BlamedQueue {
  readonly queue: QueueName;
  readonly score: number;
  /** Crashes at which the queue had active runs and that no other blamed queue explains. */
  readonly crashes: number;
}

interface Observation {
  readonly recorded: RecordedCrash;
  /** First crash of those that count as one. */
  readonly episode: Milliseconds;
  readonly weight: number;
  readonly queues: ReadonlySet<QueueName>;
}

/** Queues that were judged before. */
export interface JudgedQueues {
  /** They explain the crashes at which they have active runs, as the other queues avoid their hosts. */
  readonly confined: ReadonlySet<QueueName>;
  /** Not blamed again. */
  readonly cleared: ReadonlySet<QueueName>;
}

/** Queues to blame for the crashes of the workers of one service, the likeliest first; never all of its queues. */
export function blameQueues(
  crashes: readonly RecordedCrash[],
  { confined, cleared }: JudgedQueues,
  now: Milliseconds,
): readonly BlamedQueue[] {
  const observations = observe(crashes, now);
  const known = listQueues(observations);
  let unexplained = observations.filter(({ queues }) =>
    [...queues].every(queue => !confined.has(queue)),
  );
  const blamed: BlamedQueue[] = [];
  const maximum = Math.min(maximumBlamedQueues, known.size - 1) - confined.size;
  while (blamed.length < maximum) {
    const candidates = [...known].filter(
      queue => !cleared.has(queue) && !confined.has(queue),
    );
    const likeliest = findLikeliest(unexplained, candidates, now);
    if (likeliest === undefined) break;
    blamed.push(likeliest);
    unexplained = unexplained.filter(
      ({ queues }) => !queues.has(likeliest.queue),
    );
  }
  return blamed;
}

/** Whether the queue had active runs at the crash. */
export function hasActiveRuns(
  { crash }: RecordedCrash,
  queue: QueueName,
): boolean {
  return crash.runs.some(run => run.queue === queue);
}

function observe(
  crashes: readonly RecordedCrash[],
  now: Milliseconds,
): readonly Observation[] {
  const recent = crashes
    .filter(({ at }) => now - at < windowMilliseconds)
    .toSorted((left, right) => left.at - right.at);
  const episodes: Milliseconds[] = [];
  let begin = Number.NEGATIVE_INFINITY;
  for (const { at } of recent) {
    if (at - begin >= episodeMilliseconds) begin = at;
    episodes.push(begin);
  }
  return recent.map((recorded, index) => {
    const episode = episodes[index] ?? recorded.at;
    const size = episodes.filter(one => one === episode).length;
    const age = Math.max(0, now - recorded.at);
    return {
      recorded,
      episode,
      weight: 0.5 ** (age / halfLifeMilliseconds) / size,
      queues: new Set(recorded.crash.runs.flatMap(({ queue }) => queue ?? [])),
    };
  });
}

function listQueues(
  observations: readonly Observation[],
): ReadonlySet<QueueName> {
  return new Set(
    observations.flatMap(({ recorded, queues }) => [
      ...queues,
      ...recorded.crash.presence.map(({ queue }) => queue),
    ]),
  );
}

function findLikeliest(
  observations: readonly Observation[],
  queues: readonly QueueName[],
  now: Milliseconds,
): BlamedQueue | undefined {
  const [likeliest, next] = queues
    .map(queue => ({
      queue,
      score: computeScore(observations, queue),
      observations: observations.filter(one => one.queues.has(queue)),
    }))
    .sort((left, right) => right.score - left.score);
  if (likeliest === undefined) return undefined;
  const { queue, score, observations: present } = likeliest;
  if (countEpisodes(present) < minimumEpisodes) return undefined;
  const lead = score - (next?.score ?? Number.NEGATIVE_INFINITY);
  const isProven = score >= minimumScore && lead >= minimumLead;
  if (!isProven && !isTrialDue(observations, now)) return undefined;
  return { queue, score, crashes: present.length };
}

function isTrialDue(
  observations: readonly Observation[],
  now: Milliseconds,
): boolean {
  const recent = observations.filter(
    ({ recorded }) => now - recorded.at < trialMilliseconds,
  );
  return countEpisodes(recent) >= trialEpisodes;
}

function countEpisodes(observations: readonly Observation[]): number {
  return new Set(observations.map(({ episode }) => episode)).size;
}

function computeScore(
  observations: readonly Observation[],
  queue: QueueName,
): number {
  let score = 0;
  for (const { recorded, queues, weight } of observations) {
    const share =
      recorded.crash.presence.find(one => one.queue === queue)?.share ?? 0;
    const evidence = queues.has(queue)
      ? -Math.log(Math.min(1, Math.max(minimumPresence, share)))
      : absenceScore;
    score += weight * evidence;
  }
  return score;
}
