/** Formats the tables of docs/CAPACITY.md and inserts them between their markers. */
import { formatMarkdownTable } from '../report/format-table.js';

/** One row of a capacity table; all texts are formatted. */
export interface CapacityRow {
  readonly figure: string;
  readonly value: string;
  /** Stated budget; undefined if there is none. */
  readonly budget?: string | undefined;
  /** Slope and calculation that the value results from. */
  readonly source: string;
}

/** Capacity table of one role; the markers carry its name. */
export interface CapacityTable {
  readonly name: string;
  readonly rows: readonly CapacityRow[];
}

const headings = [
  'figure at the target size',
  'value',
  'budget',
  'worked out from',
];

/** Formats a table with its opening and closing marker. */
export function formatCapacityTable(table: CapacityTable): string {
  const rows = table.rows.map(row => [
    row.figure,
    row.value,
    row.budget ?? '',
    row.source,
  ]);
  return [
    formatOpeningMarker(table.name),
    '',
    '<!-- prettier-ignore-start -->',
    formatMarkdownTable(headings, rows),
    '<!-- prettier-ignore-end -->',
    '',
    formatClosingMarker(table.name),
  ].join('\n');
}

/** Replaces the tables of a page. Throws if the markers of a table are missing. */
export function replaceTables(
  page: string,
  tables: readonly CapacityTable[],
): string {
  return tables.reduce((text, table) => {
    const start = text.indexOf(formatOpeningMarker(table.name));
    const closing = formatClosingMarker(table.name);
    const end = text.indexOf(closing);
    if (start < 0 || end < start) {
      throw new Error(
        `The page has no markers for the table "${table.name}"; add its opening and closing marker.`,
      );
    }
    return (
      text.slice(0, start) +
      formatCapacityTable(table) +
      text.slice(end + closing.length)
    );
  }, page);
}

function formatOpeningMarker(name: string): string {
  return `<!-- table ${name} -->`;
}

function formatClosingMarker(name: string): string {
  return `<!-- end of table ${name} -->`;
}
