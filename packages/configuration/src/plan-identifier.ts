/** Identifiers of plans: they hold the base version, the intent and the digest of the effects. */
import { createHash } from 'node:crypto';

import { InvalidInputError } from '@cranberryturn/errors';
import type { ConfigurationVersion, Intent } from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

import type { Effect } from './effects.js';
import { parseIntent } from './intent-schema.js';

const digestCharacters = 16;
const maximumIdentifierCharacters = 4_096;
const identifierPattern = /^v(\d{1,12})~([A-Za-z0-9_-]+)~([0-9a-f]{16})$/;

/** What an identifier says about its plan. */
export interface PlanReference {
  readonly intent: Intent;
  readonly baseVersion: ConfigurationVersion;
  readonly digest: string;
}

/** Computes the digest of everything that an operator agrees to. */
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

/** Writes the identifier of a plan. */
export function composePlanIdentifier({
  intent,
  baseVersion,
  digest,
}: PlanReference): string {
  const text = Buffer.from(JSON.stringify(intent)).toString('base64url');
  return `v${String(baseVersion)}~${text}~${digest}`;
}

/** Reads an identifier back. */
export function parsePlanIdentifier(
  planId: string,
): Result<PlanReference, InvalidInputError> {
  if (planId.length > maximumIdentifierCharacters) return err(refusal());
  const [, version, text, digest] = identifierPattern.exec(planId) ?? [];
  if (version === undefined || text === undefined || digest === undefined) {
    return err(refusal());
  }
  return parseJson(Buffer.from(text, 'base64url').toString('utf8'))
    .andThen(parseIntent)
    .map(intent => ({ intent, baseVersion: Number(version), digest }));
}

function parseJson(text: string): Result<unknown, InvalidInputError> {
  try {
    return ok(JSON.parse(text) as unknown);
  } catch {
    return err(refusal());
  }
}

function refusal(): InvalidInputError {
  return new InvalidInputError(
    'This is not the identifier of a plan; copy the whole identifier that `cranberryctl plan` printed. Nothing was changed.',
    { step: 'read plan identifier' },
  );
}
