/** Compares load results with the stated targets. */
import { LoadEvent, Policy } from './load-case.js';
import type { LoadCaseResult } from './measure-load-case.js';

/** One figure and its target. */
export interface TargetRow {
  readonly figure: string;
  readonly measured: number;
  readonly bound: number;
  readonly isMet: boolean;
}

const maximumCalmP50 = 1.05;
const maximumCalmP99 = 1.5;
const maximumFaultP99 = 2;
const maximumCalmWastedShare = 0.02;
const maximumFaultWastedShare = 0.1;

/** Compares the results of the product policy with the stated targets; the baseline has none. */
export function compareWithTargets(
  results: readonly LoadCaseResult[],
): readonly TargetRow[] {
  return results
    .filter(result => result.policy === Policy.Product)
    .flatMap(result => [
      ...compareResponse(result),
      compareWastedMessages(result),
      createRow(result, 'violations', result.violations.length, 0),
    ]);
}

function compareResponse(result: LoadCaseResult): TargetRow[] {
  const { p50, p99 } = result.load.responseOverIdeal;
  switch (result.event) {
    case LoadEvent.Calm:
      return [
        createRow(result, 'response / ideal p50', p50, maximumCalmP50),
        createRow(result, 'response / ideal p99', p99, maximumCalmP99),
      ];
    case LoadEvent.FailingWorker:
    case LoadEvent.DeadWorker:
      return [createRow(result, 'response / ideal p99', p99, maximumFaultP99)];
    case LoadEvent.SlowWorker:
    case LoadEvent.Burst:
    case LoadEvent.Misdeclared:
      return [];
  }
}

function compareWastedMessages(result: LoadCaseResult): TargetRow {
  const bound =
    result.event === LoadEvent.DeadWorker
      ? maximumFaultWastedShare
      : maximumCalmWastedShare;
  const share = result.messages.wastedShare;
  return createRow(result, 'wasted messages / all', share, bound);
}

function createRow(
  result: LoadCaseResult,
  figure: string,
  measured: number,
  bound: number,
): TargetRow {
  return {
    figure: `${result.deployment}, ${result.event}: ${figure}`,
    measured,
    bound,
    isMet: measured <= bound,
  };
}
