/** Finds the keys that a schema allows at a path. */
import { z } from 'zod';

import type { KeyPath } from './text-positions.js';

/** Keys allowed in the object at `path`; empty when there is no object with known keys. */
export function findKnownKeys(
  schema: z.ZodType,
  path: KeyPath,
): readonly string[] {
  const target = path.reduce<z.ZodType | undefined>(
    (current, step) => current && descend(current, step),
    schema,
  );
  const inner = target && unwrap(target);
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
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
