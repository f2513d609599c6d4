/** Finds what a schema allows at a path. */
import * as z from 'zod';

import type { KeyPath } from './text-positions.js';

/** Keys allowed in the object at `path`; empty when there is no object with known keys. */
export function findKnownKeys(
  schema: z.ZodType,
  path: KeyPath,
): readonly string[] {
  const inner = findSchema(schema, path);
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
}

/** The range of the number at `path`, in words; undefined when no number is allowed there. */
export function findNumberRange(
  schema: z.ZodType,
  path: KeyPath,
): string | undefined {
  const inner = findSchema(schema, path);
  if (!(inner instanceof z.ZodNumber)) return undefined;
  const kind = inner.isInt ? 'a whole number' : 'a number';
  const lowest = formatBound(inner.minValue);
  const highest = formatBound(inner.maxValue);
  if (lowest !== undefined && highest !== undefined) {
    return `${kind} from ${lowest} to ${highest}`;
  }
  if (lowest !== undefined) return `${kind} of at least ${lowest}`;
  if (highest !== undefined) return `${kind} of at most ${highest}`;
  return kind;
}

function formatBound(bound: number | null): string | undefined {
  if (bound === null || Math.abs(bound) >= Number.MAX_SAFE_INTEGER) {
    return undefined;
  }
  return bound.toLocaleString('en');
}

function findSchema(schema: z.ZodType, path: KeyPath): z.ZodType | undefined {
  const target = path.reduce<z.ZodType | undefined>(
    (current, step) => current && descend(current, step),
    schema,
  );
  return target && unwrap(target);
}

function descend(
  schema: z.ZodType,
  step: string | number,
): z.ZodType | undefined {
  const inner = unwrap(schema);
  if (inner instanceof z.ZodArray) return inner.element as z.ZodType;
  if (inner instanceof z.ZodObject) {
    return (inner.shape as Record<string, z.ZodType>)[String(step)];
  }
  return undefined;
}

function unwrap(schema: z.ZodType): z.ZodType {
  if (
    schema instanceof z.ZodOptional ||
    schema instanceof z.ZodDefault ||
    schema instanceof z.ZodPrefault
  ) {
    return unwrap(schema.unwrap() as z.ZodType);
  }
  return schema;
}
