/** The stated targets, and how a result stands against them. */
import { LoadEvent, Policy } from './load-case.js';
import type { LoadCaseResult } from './measure-load-case.js';

/** One figure against its target. */
export interface TargetRow {
  readonly figure: string;
  readonly measured: number;
  readonly bound: number;
  readonly met: boolean;
}

const calmP50 = 1.05;
const calmP99 = 1.5;
const faultP99 = 2;
const calmWastedShare = 0.02;
const faultWastedShare = 0.1;

/** Compares the results of the product with the stated targets. */
export function compareWithTargets(
  results: readonly LoadCaseResult[],
): readonly TargetRow[] {
  return results
    .filter(result => result.policy === Policy.Product)
    .flatMap(result => [
      ...compareResponse(result),
      compareWaste(result),
      row(result, 'violations', result.violations.length, 0),
    ]);
}

function compareResponse(result: LoadCaseResult): TargetRow[] {
  const { p50, p99 } = result.load.responseOverIdeal;
  switch (result.event) {
    case LoadEvent.Calm:
      return [
        row(result, 'response / ideal p50', p50, calmP50),
        row(result, 'response / ideal p99', p99, calmP99),
      ];
    case LoadEvent.FailingWorker:
    case LoadEvent.DeadWorker:
      return [row(result, 'response / ideal p99', p99, faultP99)];
    case LoadEvent.SlowWorker:
    case LoadEvent.Burst:
    case LoadEvent.Misdeclared:
      return [];
  }
}

function compareWaste(result: LoadCaseResult): TargetRow {
  const bound =
    result.event === LoadEvent.DeadWorker ? faultWastedShare : calmWastedShare;
  const share = result.messages.wastedShare;
  return row(result, 'wasted messages / all', share, bound);
}

function row(
  result: LoadCaseResult,
  figure: string,
  measured: number,
  bound: number,
): TargetRow {
  return {
    figure: `${result.deployment}, ${result.event}: ${figure}`,
    measured,
    bound,
    met: measured <= bound,
  };
}
