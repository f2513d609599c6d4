/** Renders saved results as one HTML page with charts. */
import type { ResultFile, ResultOrigin } from '../results/result-file.js';
import { evaluateLine } from '../results/fit-line.js';
import { formatLoadResults } from '../run/format-load-results.js';
import { Policy } from '../run/load-case.js';
import type { LoadCaseResult } from '../run/measure-load-case.js';
import type { Slope } from '../slopes/measure-slopes.js';
import {
  type MeasuredQuantity,
  measuredQuantities,
} from '../slopes/reading.js';
import { drawChart, escapeMarkup, SeriesStyle } from './draw-chart.js';

const pageStyle =
  'body{font-family:sans-serif;max-width:1180px;margin:2em auto;padding:0 1em}svg{width:560px;border:1px solid #ddd;margin:4px}pre{overflow-x:auto;font-size:12px}';

/** Composes the page. Results of commands other than `run` and `slopes` are shown as JSON. */
export function composeReport(results: readonly ResultFile<unknown>[]): string {
  return [
    '<!doctype html><html lang="en"><meta charset="utf-8">',
    `<title>cranberry-bench</title><style>${pageStyle}</style>`,
    '<h1>cranberry-bench</h1>',
    ...results.map(composeSection),
    '</html>',
  ].join('\n');
}

function composeSection(result: ResultFile<unknown>): string {
  const { origin, content } = result;
  return [
    `<h2>${escapeMarkup(origin.command)}</h2>`,
    `<p>${escapeMarkup(formatOrigin(origin))}</p>`,
    composeContent(origin.command, content),
  ].join('\n');
}

function composeContent(command: string, content: unknown): string {
  switch (command) {
    case 'run':
      return composeRun(content as readonly LoadCaseResult[]);
    case 'slopes':
      return composeSlopes(content as readonly Slope[]);
    default:
      return `<pre>${escapeMarkup(JSON.stringify(content, null, 2))}</pre>`;
  }
}

function composeRun(results: readonly LoadCaseResult[]): string {
  const deployments = [...new Set(results.map(one => one.deployment))];
  const charts = deployments.map(deployment =>
    drawQuantiles(
      deployment,
      results.filter(one => one.deployment === deployment),
    ),
  );
  return `${charts.join('\n')}<pre>${escapeMarkup(formatLoadResults(results))}</pre>`;
}

function drawQuantiles(
  deployment: string,
  results: readonly LoadCaseResult[],
): string {
  return drawChart({
    title: `${deployment}: response / ideal`,
    xLabel: 'percentile',
    yLabel: 'response / ideal',
    series: results
      .filter(one => one.policy === Policy.Product)
      .map(({ event, load }) => ({
        label: event,
        style: SeriesStyle.Line,
        points: [
          { x: 50, y: load.responseOverIdeal.p50 },
          { x: 99, y: load.responseOverIdeal.p99 },
          { x: 99.9, y: load.responseOverIdeal.p999 },
        ],
      })),
  });
}

function composeSlopes(slopes: readonly Slope[]): string {
  return slopes
    .map(slope =>
      [
        `<h3>${escapeMarkup(slope.name)}</h3><p>${escapeMarkup(slope.description)}</p>`,
        ...measuredQuantities.map(quantity => drawSlope(slope, quantity)),
      ].join('\n'),
    )
    .join('\n');
}

function drawSlope(slope: Slope, quantity: MeasuredQuantity): string {
  const line = slope.lines[quantity];
  const sizes = slope.readings.map(reading => reading.size);
  return drawChart({
    title: `${slope.name}: ${quantity}`,
    xLabel: slope.dimension,
    yLabel: quantity,
    series: [
      {
        label: 'measured',
        style: SeriesStyle.Points,
        points: slope.readings.map(reading => ({
          x: reading.size,
          y: reading[quantity],
        })),
      },
      {
        label: `line, residual ${String(line.residual)}`,
        style: SeriesStyle.Line,
        points: [Math.min(...sizes), Math.max(...sizes)].map(size => ({
          x: size,
          y: evaluateLine(line, size),
        })),
      },
    ],
  });
}

function formatOrigin({ commit, machine, seed }: ResultOrigin): string {
  return `commit ${commit}, seed ${String(seed)}, ${machine.processor}, ${String(machine.cores)} cores, ${String(machine.memoryGibibytes)} GiB, Node.js ${machine.node}`;
}
