/** Plan identifiers, which encode the base version, the intent and a digest of the effects. */
import { createHash } from 'node:crypto';

import { InvalidInputError } from '@cranberryturn/errors';
import type { ConfigurationVersion, Intent } from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

import type { Effect } from './effects.js';
import { parseIntent } from './intent-schema.js';

const digestCharacters = 16;
const maximumIdentifierCharacters = 4_096;
const identifierPattern = /^v(\d{1,12})~([A-Za-z0-9_-]+)~([0-9a-f]{16})$/;

/** Decoded content of a plan identifier. */
export interface PlanReference {
  readonly intent: Intent;
  readonly baseVersion: ConfigurationVersion;
  readonly digest: string;
}

/** Computes the digest of everything that an operator confirms: intent, base version and effects. */
export function digestPlan(
  intent: Intent,
  baseVersion: ConfigurationVersion,
  effects: readonly Effect[],
): string {
  return createHash('sha256')
    .update(JSON.stringify([intent, baseVersion, effects]))
    .digest('hex')
    .slice(0, digestCharacters);
}

/** Encodes a plan identifier. */
export function composePlanIdentifier({
  intent,
  baseVersion,
  digest,
}: PlanReference): string {
  const encodedIntent = Buffer.from(JSON.stringify(intent)).toString(
    'base64url',
  );
  return `v${String(baseVersion)}~${encodedIntent}~${digest}`;
}

/** Decodes a plan identifier and validates its intent. The digest is not checked here. */
export function parsePlanIdentifier(
  planId: string,
): Result<PlanReference, InvalidInputError> {
  if (planId.length > maximumIdentifierCharacters)
    return err(createInvalidIdentifierError());
  const [, version, encodedIntent, digest] =
    identifierPattern.exec(planId) ?? [];
  if (
    version === undefined ||
    encodedIntent === undefined ||
    digest === undefined
  ) {
    return err(createInvalidIdentifierError());
  }
  return parseJson(Buffer.from(encodedIntent, 'base64url').toString('utf8'))
    .andThen(parseIntent)
    .map(intent => ({ intent, baseVersion: Number(version), digest }));
}

function parseJson(text: string): Result<unknown, InvalidInputError> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    return err(createInvalidIdentifierError());
  }
}

function createInvalidIdentifierError(): InvalidInputError {
  return new InvalidInputError(
    'This is not the identifier of a plan; copy the whole identifier that `cranberryctl plan` printed. Nothing was changed.',
    { step: 'read plan identifier' },
  );
}
