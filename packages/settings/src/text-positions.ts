/** Finds the line and column of keys and values in the text of a settings file. */
import { findNodeAtLocation, type Node } from 'jsonc-parser';

/** Position in a text; line and column start at 1. */
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

/** Returns the position of the value at `path`, or of the innermost existing value around that path. */
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

/** Returns the position of the key at the end of `path`, rather than of its value. */
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

/** Formats a path for error messages, for example `teams[0].tokenDigests`. */
export function formatKeyPath(path: KeyPath): string {
  return path.reduce<string>((text, step) => {
    if (typeof step === 'number') return `${text}[${String(step)}]`;
    return text === '' ? step : `${text}.${step}`;
  }, '');
}
