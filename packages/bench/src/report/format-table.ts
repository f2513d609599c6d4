/** Formats tables and numbers for terminals and Markdown. */

/** Formats rows as text with padded columns; the first one is aligned left, the others right. Cells beyond the headings are dropped. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const allRows = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...allRows.map(row => (row[column] ?? '').length)),
  );
  return allRows
    .map(row =>
      widths
        .map((width, column) => alignCell(row[column] ?? '', width, column))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats rows as a Markdown table. Cells are not escaped. */
export function formatMarkdownTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const formatRow = (cells: readonly string[]): string =>
    `| ${cells.join(' | ')} |`;
  return [
    formatRow(headings),
    formatRow(headings.map(() => '---')),
    ...rows.map(formatRow),
  ].join('\n');
}

/** Formats a number with three significant digits, from 1,000 on as an integer with commas; "n/a" if not finite. */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return 'n/a';
  if (Math.abs(value) >= 1_000) return Math.round(value).toLocaleString('en');
  return String(Number(value.toPrecision(3)));
}

function alignCell(text: string, width: number, column: number): string {
  return column === 0 ? text.padEnd(width) : text.padStart(width);
}
