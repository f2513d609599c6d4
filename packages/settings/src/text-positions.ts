/** Finds the line and column of parts of a settings text. */
import { findNodeAtLocation, type Node } from 'jsonc-parser';

/** A place in a text; both numbers start at 1. */
export interface TextPosition {
  readonly line: number;
  readonly column: number;
}

/** Path of keys and indexes from the root of a document. */
export type KeyPath = readonly (string | number)[];

/** Converts an offset to a line and a column. */
export function findOffsetPosition(text: string, offset: number): TextPosition {
  const before = text.slice(0, offset);
  const line = before.split('\n').length;
  return { line, column: offset - before.lastIndexOf('\n') };
}

/** Position of the value at `path`, or of the nearest value that contains it. */
export function findValuePosition(
  text: string,
  root: Node | undefined,
  path: KeyPath,
): TextPosition {
  for (
    let length = path.length;
    root !== undefined && length > 0;
    length -= 1
  ) {
    const node = findNodeAtLocation(root, path.slice(0, length));
    if (node !== undefined) return findOffsetPosition(text, node.offset);
  }
  return findOffsetPosition(text, root?.offset ?? 0);
}

/** Position of the key itself, rather than of its value. */
export function findKeyPosition(
  text: string,
  root: Node | undefined,
  path: KeyPath,
): TextPosition {
  const node = root && findNodeAtLocation(root, [...path]);
  const property = node?.parent;
  if (property?.type !== 'property') return findValuePosition(text, root, path);
  return findOffsetPosition(text, property.offset);
}

/** Writes a path for a person, for example `teams[0].tokenDigests`. */
export function formatKeyPath(path: KeyPath): string {
  return path.reduce<string>((text, step) => {
    if (typeof step === 'number') return `${text}[${String(step)}]`;
    return text === '' ? step : `${text}.${step}`;
  }, '');
}
