/** Formats load results as text for a terminal. */
import { formatNumber, formatTable } from '../report/format-table.js';
import type { LoadCaseResult } from './measure-load-case.js';
import { compareWithTargets } from './targets.js';

const caseHeadings = [
  'case',
  'policy',
  'jobs',
  'complete',
  'failed',
  'refused',
  'p50',
  'p99',
  'p99.9',
  'messages/task',
  'wasted',
  'without heartbeats',
  'cpu ms/task',
  'violations',
];
const percent = 100;

/** Formats the figures, the wasted messages by kind, the target table and the violations. */
export function formatLoadResults(results: readonly LoadCaseResult[]): string {
  const targets = compareWithTargets(results);
  return [
    'Response / ideal is the quotient for complete jobs, from the intended time of submission.',
    formatTable(caseHeadings, results.map(formatCase)),
    '',
    'Wasted messages by kind',
    ...results.map(formatWastedMessages),
    '',
    formatTable(
      ['figure', 'measured', 'target', 'met'],
      targets.map(target => [
        target.figure,
        formatNumber(target.measured),
        `<= ${formatNumber(target.bound)}`,
        target.isMet ? 'yes' : 'NO',
      ]),
    ),
    ...results.flatMap(listProblems),
  ].join('\n');
}

function formatCase(result: LoadCaseResult): string[] {
  const { load, messages } = result;
  const ratio = load.responseOverIdeal;
  return [
    `${result.deployment}, ${result.event}`,
    result.policy,
    String(load.jobs),
    String(load.complete),
    String(load.failed),
    String(load.refused + load.broken),
    formatNumber(ratio.p50),
    formatNumber(ratio.p99),
    formatNumber(ratio.p999),
    formatNumber(messages.perTask),
    formatPercent(messages.wastedShare),
    formatPercent(messages.wastedShareWithoutHeartbeats),
    formatNumber(result.processorMillisecondsPerTask),
    String(result.violations.length),
  ];
}

function formatWastedMessages(result: LoadCaseResult): string {
  const kinds = Object.entries(result.messages.wasted)
    .map(([kind, count]) => `${kind} ${String(count)}`)
    .join(', ');
  return `  ${result.deployment}, ${result.event}, ${result.policy}: ${kinds === '' ? 'none' : kinds} of ${String(result.messages.frames)}`;
}

function listProblems(result: LoadCaseResult): string[] {
  const name = `${result.deployment}, ${result.event}, ${result.policy}`;
  return [
    ...result.load.reasons.map(reason => `${name}: not complete: ${reason}`),
    ...result.violations
      .slice(0, 5)
      .map(
        one => `${name}: VIOLATION ${one.kind}: ${one.subject} ${one.detail}`,
      ),
  ];
}

function formatPercent(share: number): string {
  return `${formatNumber(share * percent)} %`;
}
