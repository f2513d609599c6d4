/** The tables of docs/CAPACITY.md. */
import { formatMarkdownTable } from '../report/format-table.js';

/** One row of a table. */
export interface CapacityRow {
  readonly figure: string;
  readonly value: string;
  /** The stated budget; undefined when there is none. */
  readonly budget?: string | undefined;
  /** The slope and the calculation that give the value. */
  readonly source: string;
}

/** One table, for one role. */
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

/** Formats a table between its markers. */
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

/** Replaces the tables of a page. A table whose markers are missing is an error. */
export function replaceTables(
  page: string,
  tables: readonly CapacityTable[],
): string {
  return tables.reduce((text, table) => {
    const start = text.indexOf(formatOpeningMarker(table.name));
    const closing = formatClosingMarker(table.name);
    const end = text.indexOf(closing);
    if (start < 0 || end < start) {
      throw new Error(`The page has no place for the table "${table.name}".`);
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
