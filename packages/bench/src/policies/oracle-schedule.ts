/** A central scheduler that knows every run time and needs no messages: a lower bound for the policies. */
import type { Milliseconds } from '@cranberryturn/types';

/** Arrival time and run times of a job. */
export interface OracleJob {
  readonly at: Milliseconds;
  readonly runs: readonly Milliseconds[];
}

/** Input of the oracle. */
export interface OracleLoad {
  readonly jobs: readonly OracleJob[];
  readonly slots: number;
  /** Network time that is part of every response and of the ideal response. */
  readonly networkMilliseconds: Milliseconds;
}

/** Makes the run time a tie-breaker between tasks of one job only: jobs arrive further apart than run time / divisor. */
const tieBreakDivisor = 1e9;

interface OracleTask {
  readonly job: number;
  readonly run: Milliseconds;
  readonly rank: number;
}

/** Multiples of the longest run time of a job that are tried as its deadline. */
const responseGoals: readonly number[] = [
  1, 1.1, 1.2, 1.3, 1.4, 1.5, 1.75, 2, 3,
];

/** The lowest 99th percentile of response over ideal among the orders that the oracle tries. */
export function findOracleP99(load: OracleLoad): number {
  const arrival = runOracle(load, rankByArrival);
  const others = responseGoals.map(goal =>
    runOracle(load, rankByLatestStart(goal)),
  );
  return Math.min(...[arrival, ...others].map(computeP99));
}

type RankTask = (job: OracleJob, run: Milliseconds) => number;

/** First come, first served; within a job the longest task first. */
const rankByArrival: RankTask = (job, run) => job.at - run / tieBreakDivisor;

/** Orders by latest start; the deadline of a job is `goal` times its longest run time. */
function rankByLatestStart(goal: number): RankTask {
  return (job, run) => job.at + goal * Math.max(...job.runs) - run;
}

function runOracle(load: OracleLoad, rank: RankTask): readonly number[] {
  const { jobs, slots, networkMilliseconds } = load;
  const freeAt = Array.from({ length: slots }, () => 0);
  const waiting: OracleTask[] = [];
  const ends = jobs.map(job => job.at);
  let arrived = 0;
  const admit = (until: Milliseconds): void => {
    for (; arrived < jobs.length; arrived += 1) {
      const job = jobs[arrived];
      if (job === undefined || job.at > until) return;
      for (const run of job.runs)
        insertByRank(waiting, { job: arrived, run, rank: rank(job, run) });
    }
  };
  while (arrived < jobs.length || waiting.length > 0) {
    const slot = findEarliest(freeAt);
    const next = waiting.length > 0 ? 0 : (jobs[arrived]?.at ?? 0);
    const now = Math.max(freeAt[slot] ?? 0, next);
    admit(now);
    const task = waiting.pop();
    if (task === undefined) continue;
    const begin = Math.max(now, jobs[task.job]?.at ?? 0);
    freeAt[slot] = begin + task.run;
    ends[task.job] = Math.max(ends[task.job] ?? 0, begin + task.run);
  }
  return jobs.map((job, position) => {
    const ideal = Math.max(...job.runs) + networkMilliseconds;
    return ((ends[position] ?? 0) - job.at + networkMilliseconds) / ideal;
  });
}

/** Inserts into a list in descending order of rank, so that `pop` returns the lowest rank. */
function insertByRank(waiting: OracleTask[], task: OracleTask): void {
  let low = 0;
  let high = waiting.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((waiting[middle]?.rank ?? 0) >= task.rank) low = middle + 1;
    else high = middle;
  }
  waiting.splice(low, 0, task);
}

function findEarliest(freeAt: readonly Milliseconds[]): number {
  let earliest = 0;
  for (let slot = 1; slot < freeAt.length; slot += 1) {
    if ((freeAt[slot] ?? 0) < (freeAt[earliest] ?? 0)) earliest = slot;
  }
  return earliest;
}

function computeP99(ratios: readonly number[]): number {
  const sorted = [...ratios].sort((left, right) => left - right);
  const position = Math.min(
    sorted.length - 1,
    Math.floor(sorted.length * 0.99),
  );
  return sorted[position] ?? Number.NaN;
}
