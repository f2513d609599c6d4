/** Draws charts of points and lines as SVG. */

/** A point of a series, in the units of the axes. */
export interface ChartPoint {
  readonly x: number;
  readonly y: number;
}

/** Whether a series is drawn as a line or as separate points. */
export enum SeriesStyle {
  Line = 'line',
  Points = 'points',
}

/** A series of points with its label in the legend. */
export interface ChartSeries {
  readonly label: string;
  readonly style: SeriesStyle;
  readonly points: readonly ChartPoint[];
}

/** Texts and series of a chart. Texts are escaped when drawn. */
export interface ChartOptions {
  readonly title: string;
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly ChartSeries[];
}

interface Scale {
  readonly minimum: number;
  readonly maximum: number;
  readonly toPixels: (value: number) => number;
}

const width = 560;
const height = 320;
const margin = { left: 70, right: 16, top: 34, bottom: 44 };
const tickIntervals = 5;
const legendLineHeight = 16;
const pointRadius = 3.5;
const colours = ['#1f5fa8', '#b5432a', '#3a7d44', '#7b4fa3', '#8a6d1b', '#444'];

/** Draws a chart and returns the SVG element. Both axes include zero; colours repeat after six series. */
export function drawChart(options: ChartOptions): string {
  const points = options.series.flatMap(series => series.points);
  const xScale = createScale(
    points.map(point => point.x),
    margin.left,
    width - margin.right,
  );
  const yScale = createScale(
    points.map(point => point.y),
    height - margin.bottom,
    margin.top,
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${String(width)} ${String(height)}" font-family="sans-serif" font-size="11">`,
    `<rect width="100%" height="100%" fill="#fff"/>`,
    drawText(width / 2, 18, options.title, 'middle', 'font-weight="bold"'),
    ...drawHorizontalAxis(xScale, options.xLabel),
    ...drawVerticalAxis(yScale, options.yLabel),
    ...options.series.flatMap((series, position) =>
      drawSeries(series, xScale, yScale, getColour(position)),
    ),
    ...options.series.map((series, position) =>
      drawLegend(series.label, position),
    ),
    '</svg>',
  ].join('\n');
}

/** Escapes text for element content and double-quoted attributes in XML and HTML. */
export function escapeMarkup(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function createScale(
  values: readonly number[],
  start: number,
  end: number,
): Scale {
  const minimum = Math.min(0, ...values);
  const maximum = Math.max(minimum + Number.EPSILON, ...values);
  const toFraction = (value: number): number =>
    (value - minimum) / (maximum - minimum);
  return {
    minimum,
    maximum,
    toPixels: value => start + toFraction(value) * (end - start),
  };
}

function listTicks(scale: Scale): number[] {
  const step = (scale.maximum - scale.minimum) / tickIntervals;
  return Array.from(
    { length: tickIntervals + 1 },
    (_, position) => scale.minimum + position * step,
  );
}

function drawHorizontalAxis(scale: Scale, label: string): string[] {
  const base = height - margin.bottom;
  return [
    drawLine(margin.left, base, width - margin.right, base, '#222'),
    ...listTicks(scale).map(value =>
      drawText(scale.toPixels(value), base + 15, formatTick(value), 'middle'),
    ),
    drawText(width / 2, height - 8, label, 'middle'),
  ];
}

function drawVerticalAxis(scale: Scale, label: string): string[] {
  const middle = height / 2;
  return [
    ...listTicks(scale).flatMap(value => [
      drawLine(
        margin.left,
        scale.toPixels(value),
        width - margin.right,
        scale.toPixels(value),
        '#e2e2e2',
      ),
      drawText(
        margin.left - 6,
        scale.toPixels(value) + 4,
        formatTick(value),
        'end',
      ),
    ]),
    drawText(
      14,
      middle,
      label,
      'middle',
      `transform="rotate(-90 14 ${String(middle)})"`,
    ),
  ];
}

function drawSeries(
  series: ChartSeries,
  xScale: Scale,
  yScale: Scale,
  colour: string,
): string[] {
  const pixels = series.points.map(point => ({
    x: xScale.toPixels(point.x).toFixed(1),
    y: yScale.toPixels(point.y).toFixed(1),
  }));
  switch (series.style) {
    case SeriesStyle.Points:
      return pixels.map(
        pixel =>
          `<circle cx="${pixel.x}" cy="${pixel.y}" r="${String(pointRadius)}" fill="${colour}"/>`,
      );
    case SeriesStyle.Line:
      return [
        `<polyline fill="none" stroke="${colour}" stroke-width="1.6" points="${pixels.map(pixel => `${pixel.x},${pixel.y}`).join(' ')}"/>`,
      ];
  }
}

function drawLegend(label: string, position: number): string {
  const top = margin.top + 6 + position * legendLineHeight;
  const left = margin.left + 10;
  return [
    `<rect x="${String(left)}" y="${String(top)}" width="10" height="10" fill="${getColour(position)}"/>`,
    drawText(left + 15, top + 9, label, 'start'),
  ].join('');
}

function drawLine(
  x1: number,
  y1: number,
  x2: number,
  y2: number,
  colour: string,
): string {
  return `<line x1="${x1.toFixed(1)}" y1="${y1.toFixed(1)}" x2="${x2.toFixed(1)}" y2="${y2.toFixed(1)}" stroke="${colour}"/>`;
}

function drawText(
  x: number,
  y: number,
  text: string,
  anchor: 'start' | 'middle' | 'end',
  extra = '',
): string {
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}" ${extra}>${escapeMarkup(text)}</text>`;
}

function formatTick(value: number): string {
  if (value === 0) return '0';
  if (Math.abs(value) >= 1_000) return Math.round(value).toLocaleString('en');
  return String(Number(value.toPrecision(3)));
}

function getColour(position: number): string {
  return colours[position % colours.length] ?? '#000';
}
