/** Summarises the outcomes of the comparison by queue and by width. */
import { TransientJobEndKind } from '../transient-job.js';
import type { Outcome } from './run-scarce-load.js';
import { jobKinds } from './scarce-load.js';

/** Worth of a late result, relative to one in time. */
const lateWorth = 0.2;
const latestUsefulFactor = 3;

/** Figures of a group of jobs. */
export interface Summary {
  readonly offered: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Response times divided by the objective. */
  readonly p50: number;
  readonly p99: number;
  /** Longest time to a refusal, in milliseconds. */
  readonly refusalDelay: number;
}

/** Summarises a group of jobs. */
export function summarize(outcomes: readonly Outcome[]): Summary {
  const answered = outcomes.filter(isAnswered);
  const inTime = answered.filter(isInTime).length;
  const times = answered
    .map(({ elapsed, objective }) => elapsed / objective)
    .toSorted((left, right) => left - right);
  const refused = outcomes.filter(
    ({ end }) => end?.kind === TransientJobEndKind.Refused,
  ).length;
  return {
    offered: outcomes.length,
    inTime,
    late: answered.length - inTime,
    refused,
    failed: outcomes.length - answered.length - refused,
    p50: times[Math.floor(times.length * 0.5)] ?? 0,
    p99: times[Math.floor(times.length * 0.99)] ?? 0,
    refusalDelay: Math.max(
      0,
      ...outcomes.map(({ refusedAfter }) => refusedAfter ?? 0),
    ),
  };
}

function isAnswered({ end, elapsed, objective }: Outcome): boolean {
  return (
    end?.kind === TransientJobEndKind.Completed &&
    elapsed <= objective * latestUsefulFactor
  );
}

function isInTime({ elapsed, objective }: Outcome): boolean {
  return elapsed <= objective;
}

/** Worth of what was served, as a share of what was offered; a job counts by its work. */
export function computeWorth(outcomes: readonly Outcome[]): number {
  let offered = 0;
  let served = 0;
  for (const outcome of outcomes) {
    const { kind, width } = outcome.arrival;
    const work = width * kind.milliseconds;
    offered += work;
    if (isAnswered(outcome))
      served += isInTime(outcome) ? work : work * lateWorth;
  }
  return served / offered;
}

/** Share of the callers that got an answer of use. */
export function computeAnsweredShare(outcomes: readonly Outcome[]): number {
  return outcomes.filter(isAnswered).length / outcomes.length;
}

/** Formats one line for each queue and each of its widths. */
export function formatOutcomes(outcomes: readonly Outcome[]): string {
  const lines = [
    'queue   width offered in-time  late refused failed   p50   p99 refusal-ms',
  ];
  for (const { queue, widths } of jobKinds) {
    const ofQueue = outcomes.filter(one => one.arrival.kind.queue === queue);
    lines.push(formatLine(queue, 'all', ofQueue));
    for (const width of widths) {
      const ofWidth = ofQueue.filter(one => one.arrival.width === width);
      lines.push(formatLine(queue, String(width), ofWidth));
    }
  }
  const worth = computeWorth(outcomes).toFixed(3);
  const answered = computeAnsweredShare(outcomes).toFixed(4);
  lines.push(`worth ${worth}, answered ${answered}`);
  return lines.join('\n');
}

function formatLine(
  queue: string,
  width: string,
  outcomes: readonly Outcome[],
): string {
  const summary = summarize(outcomes);
  const share = (count: number): string =>
    (count / Math.max(1, summary.offered)).toFixed(3);
  return [
    queue.padEnd(7),
    width.padStart(5),
    String(summary.offered).padStart(7),
    share(summary.inTime).padStart(7),
    share(summary.late).padStart(5),
    share(summary.refused).padStart(7),
    share(summary.failed).padStart(6),
    summary.p50.toFixed(2).padStart(5),
    summary.p99.toFixed(2).padStart(5),
    summary.refusalDelay.toFixed(0).padStart(10),
  ].join(' ');
}
