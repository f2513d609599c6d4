/** Looks up the keys and number ranges that a schema allows at a path, for error messages. */
import * as z from 'zod';

import type { KeyPath } from './text-positions.js';

/** Returns the keys allowed in the object at `path`; empty when the schema has no object there. */
export function findKnownKeys(
  schema: z.ZodType,
  path: KeyPath,
): readonly string[] {
  const schemaAtPath = findSchemaAtPath(schema, path);
  return schemaAtPath instanceof z.ZodObject
    ? Object.keys(schemaAtPath.shape)
    : [];
}

/** Describes the range of the number at `path`; undefined when the schema has no number there. */
export function findNumberRange(
  schema: z.ZodType,
  path: KeyPath,
): string | undefined {
  const schemaAtPath = findSchemaAtPath(schema, path);
  if (!(schemaAtPath instanceof z.ZodNumber)) return undefined;
  const kind = schemaAtPath.isInt ? 'a whole number' : 'a number';
  const minimum = formatBound(schemaAtPath.minValue);
  const maximum = formatBound(schemaAtPath.maxValue);
  if (minimum !== undefined && maximum !== undefined) {
    return `${kind} from ${minimum} to ${maximum}`;
  }
  if (minimum !== undefined) return `${kind} of at least ${minimum}`;
  if (maximum !== undefined) return `${kind} of at most ${maximum}`;
  return kind;
}

function formatBound(bound: number | null): string | undefined {
  if (bound === null || Math.abs(bound) >= Number.MAX_SAFE_INTEGER) {
    return undefined;
  }
  return bound.toLocaleString('en');
}

function findSchemaAtPath(
  schema: z.ZodType,
  path: KeyPath,
): z.ZodType | undefined {
  const schemaAtPath = path.reduce<z.ZodType | undefined>(
    (current, step) => current && findChildSchema(current, step),
    schema,
  );
  return schemaAtPath && unwrapDefaults(schemaAtPath);
}

function findChildSchema(
  schema: z.ZodType,
  step: string | number,
): z.ZodType | undefined {
  const inner = unwrapDefaults(schema);
  if (inner instanceof z.ZodArray) return inner.element as z.ZodType;
  if (inner instanceof z.ZodObject) {
    return (inner.shape as Record<string, z.ZodType>)[String(step)];
  }
  return undefined;
}

function unwrapDefaults(schema: z.ZodType): z.ZodType {
  if (
    schema instanceof z.ZodOptional ||
    schema instanceof z.ZodDefault ||
    schema instanceof z.ZodPrefault
  ) {
    return unwrapDefaults(schema.unwrap() as z.ZodType);
  }
  return schema;
}
