/** Parses JSON with comments into a syntax tree with positions. */
import {
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from 'jsonc-parser';

import type { SettingsProblem } from './settings-error.js';
import {
  formatKeyPath,
  type KeyPath,
  findOffsetPosition,
} from './text-positions.js';

const byteOrderMark = '\uFEFF';
const maximumExcerptCharacters = 20;

/** Syntax tree and value of a settings text, with its syntax errors and duplicate keys. */
export interface SettingsDocument {
  readonly text: string;
  readonly root: Node | undefined;
  readonly value: unknown;
  readonly problems: readonly SettingsProblem[];
}

/** Parses `source`. Comments, trailing commas and a byte order mark are allowed; duplicate keys are not. */
export function parseDocument(source: string): SettingsDocument {
  const text = source.startsWith(byteOrderMark) ? source.slice(1) : source;
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  const syntaxProblems = errors.map(error => describeSyntaxError(text, error));
  const repeatedKeyProblems =
    root === undefined ? [] : findRepeatedKeys(text, root, []);
  const value: unknown = root === undefined ? undefined : getNodeValue(root);
  return {
    text,
    root,
    value,
    problems: [...syntaxProblems, ...repeatedKeyProblems],
  };
}

function describeSyntaxError(text: string, error: ParseError): SettingsProblem {
  const excerpt = text
    .slice(error.offset, error.offset + maximumExcerptCharacters)
    .split('\n')[0]
    ?.trim();
  return {
    ...findOffsetPosition(text, error.offset),
    keyPath: '',
    found: excerpt ? `"${excerpt}"` : 'the end of the line or file',
    allowed: describeAllowedSyntax(printParseErrorCode(error.error)),
  };
}

function describeAllowedSyntax(code: string): string {
  switch (code) {
    case 'CommaExpected':
      return 'a comma between two entries';
    case 'ColonExpected':
      return 'a colon after a key';
    case 'PropertyNameExpected':
      return 'a key in double quotes';
    case 'ValueExpected':
      return 'a value: an object, an array, a string, a number, true or false';
    case 'CloseBraceExpected':
      return 'a closing "}"';
    case 'CloseBracketExpected':
      return 'a closing "]"';
    case 'EndOfFileExpected':
      return 'nothing after the end of the settings object';
    case 'UnexpectedEndOfComment':
      return 'a closing "*/" of the comment';
    case 'UnexpectedEndOfString':
      return 'a closing double quote of the string';
    case 'InvalidNumberFormat':
    case 'UnexpectedEndOfNumber':
      return 'a number in decimal digits';
    default:
      return 'JSON, with // or /* */ comments';
  }
}

function findRepeatedKeys(
  text: string,
  node: Node,
  path: KeyPath,
): readonly SettingsProblem[] {
  if (node.type === 'array') {
    return (node.children ?? []).flatMap((child, index) =>
      findRepeatedKeys(text, child, [...path, index]),
    );
  }
  if (node.type !== 'object') return [];
  const seen = new Set<string>();
  return (node.children ?? []).flatMap(property => {
    const [keyNode, valueNode] = property.children ?? [];
    const key = String(keyNode?.value);
    const keyPath = [...path, key];
    const inner = valueNode ? findRepeatedKeys(text, valueNode, keyPath) : [];
    if (!seen.has(key)) {
      seen.add(key);
      return inner;
    }
    return [describeRepeatedKey(text, property, keyPath), ...inner];
  });
}

function describeRepeatedKey(
  text: string,
  property: Node,
  path: KeyPath,
): SettingsProblem {
  return {
    ...findOffsetPosition(text, property.offset),
    keyPath: formatKeyPath(path),
    found: 'a duplicate key',
    allowed: 'each key once in an object',
  };
}
