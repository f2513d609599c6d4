/** Compares load results with saved results. */
import { formatNumber, formatTable } from '../report/format-table.js';
import type { LoadCaseResult } from './measure-load-case.js';

interface ComparedFigure {
  readonly name: string;
  readonly read: (result: LoadCaseResult) => number;
}

const figures: readonly ComparedFigure[] = [
  { name: 'p50', read: one => one.load.responseOverIdeal.p50 },
  { name: 'p99', read: one => one.load.responseOverIdeal.p99 },
  { name: 'p99.9', read: one => one.load.responseOverIdeal.p999 },
  { name: 'messages/task', read: one => one.messages.perTask },
  { name: 'wasted share', read: one => one.messages.wastedShare },
  { name: 'complete jobs', read: one => one.load.complete / one.load.jobs },
];

/** Formats the figures of the cases that both results contain, before and after. */
export function compareLoadResults(
  before: readonly LoadCaseResult[],
  after: readonly LoadCaseResult[],
): string {
  const rows = after.flatMap(result => {
    const earlier = before.find(one => isSameCase(one, result));
    if (earlier === undefined) return [];
    return figures.map(figure => formatRow(figure, earlier, result));
  });
  return formatTable(['case', 'figure', 'before', 'after', 'change'], rows);
}

function formatRow(
  figure: ComparedFigure,
  before: LoadCaseResult,
  after: LoadCaseResult,
): string[] {
  const earlier = figure.read(before);
  const later = figure.read(after);
  return [
    `${after.deployment}, ${after.event}, ${after.policy}`,
    figure.name,
    formatNumber(earlier),
    formatNumber(later),
    `${formatNumber(((later - earlier) / earlier) * 100)} %`,
  ];
}

function isSameCase(left: LoadCaseResult, right: LoadCaseResult): boolean {
  return (
    left.deployment === right.deployment &&
    left.event === right.event &&
    left.policy === right.policy
  );
}
