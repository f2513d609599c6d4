/** Converts schema validation issues into settings problems with a position and a suggestion. */
import type * as z from 'zod';

import { findKnownKeys, findNumberRange } from './schema-lookup.js';
import { findNearestName } from './nearest-name.js';
import type { SettingsDocument } from './parse-document.js';
import type { SettingsProblem } from './settings-error.js';
import {
  formatKeyPath,
  type KeyPath,
  findKeyPosition,
  findValuePosition,
} from './text-positions.js';

const maximumValueCharacters = 60;
/** Keys that earlier versions accepted, and the text shown in place of the allowed keys. */
const adviceForRemovedKeys = new Map([
  [
    'operators',
    'nothing: remove operators, which only the settings of control hosts name',
  ],
]);
const secretKeyPattern = /token|secret|password|authorization/i;

/** Describes one issue. An issue about several unknown keys yields one problem per key. */
export function describeIssue(
  issue: z.core.$ZodIssue,
  document: SettingsDocument,
  schema: z.ZodType,
): readonly SettingsProblem[] {
  const path = issue.path.map(step =>
    typeof step === 'number' ? step : String(step),
  );
  if (issue.code === 'unrecognized_keys') {
    const knownKeys = findKnownKeys(schema, path);
    return issue.keys.map(key =>
      describeUnknownKey(document, path, key, knownKeys),
    );
  }
  return [
    {
      ...findValuePosition(document.text, document.root, path),
      keyPath: formatKeyPath(path),
      found: describeValue(document.value, path),
      allowed: describeAllowed(issue, schema, path),
    },
  ];
}

function describeUnknownKey(
  document: SettingsDocument,
  path: KeyPath,
  key: string,
  knownKeys: readonly string[],
): SettingsProblem {
  const keyPath = [...path, key];
  return {
    ...findKeyPosition(document.text, document.root, keyPath),
    keyPath: formatKeyPath(keyPath),
    found: 'an unknown key',
    allowed: adviceForRemovedKeys.get(key) ?? knownKeys.join(', '),
    suggestion: adviceForRemovedKeys.has(key)
      ? undefined
      : findNearestName(key, knownKeys),
  };
}

function describeAllowed(
  issue: z.core.$ZodIssue,
  schema: z.ZodType,
  path: KeyPath,
): string {
  switch (issue.code) {
    case 'invalid_type':
      return findNumberRange(schema, path) ?? describeType(issue.expected);
    case 'too_small':
      return (
        findNumberRange(schema, path) ??
        describeBound(issue.origin, 'at least', Number(issue.minimum))
      );
    case 'too_big':
      return (
        findNumberRange(schema, path) ??
        describeBound(issue.origin, 'at most', Number(issue.maximum))
      );
    case 'invalid_value':
      return issue.values.map(value => `"${String(value)}"`).join(', ');
    case 'invalid_format':
    case 'not_multiple_of':
    case 'unrecognized_keys':
    case 'invalid_union':
    case 'invalid_key':
    case 'invalid_element':
    case 'custom':
      return issue.message;
  }
}

function describeType(expected: string): string {
  switch (expected) {
    case 'string':
      return 'a string in double quotes';
    case 'boolean':
      return 'true or false';
    case 'array':
      return 'an array [ ... ]';
    case 'object':
      return 'an object { ... }';
    default:
      return expected;
  }
}

function describeBound(origin: string, bound: string, limit: number): string {
  const amount = limit.toLocaleString('en');
  if (origin === 'string') return `${bound} ${amount} characters`;
  return limit === 1 ? `${bound} 1 entry` : `${bound} ${amount} entries`;
}

function describeValue(root: unknown, path: KeyPath): string {
  const value = path.reduce<unknown>(
    (current, step) =>
      typeof current === 'object' && current !== null
        ? (current as Record<string, unknown>)[step]
        : undefined,
    root,
  );
  if (value === undefined) return 'no value';
  if (typeof value === 'string' && path.some(isSecretKey)) {
    return `a string of ${String(value.length)} characters`;
  }
  const text = JSON.stringify(value);
  return text.length > maximumValueCharacters
    ? `${text.slice(0, maximumValueCharacters)}…`
    : text;
}

function isSecretKey(step: string | number): boolean {
  return typeof step === 'string' && secretKeyPattern.test(step);
}
