/** Computes the plan of a change as a pure function. */
import { InvalidInputError } from '@cranberryturn/errors';
import type {
  ClusterConfiguration,
  ConfigurationVersion,
  Intent,
} from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

import { applyIntent } from './apply-intent.js';
import type { Effect } from './effects.js';
import { listEffects } from './list-effects.js';
import { composePlanIdentifier, digestPlan } from './plan-identifier.js';

/** Plan of a change, which an operator reviews and confirms. */
export interface ChangePlan {
  readonly planId: string;
  readonly intent: Intent;
  /** Version that must still be current when the plan is confirmed. */
  readonly baseVersion: ConfigurationVersion;
  readonly effects: readonly Effect[];
  /** Configuration that results from the change. */
  readonly after: ClusterConfiguration;
}

/**
 * Computes the plan of an intent. The identifier depends on configuration and
 * intent only, so every process computes the same one. Fails when the intent
 * cannot be applied or has no effect.
 */
export function assembleChangePlan(
  configuration: ClusterConfiguration,
  intent: Intent,
): Result<ChangePlan, InvalidInputError> {
  return applyIntent(configuration, intent).andThen(after => {
    const effects = listEffects(configuration, after);
    if (effects.length === 0) return err(createNoChangeError(intent));
    const baseVersion = configuration.version;
    const digest = digestPlan(intent, baseVersion, effects);
    const planId = composePlanIdentifier({ intent, baseVersion, digest });
    return ok({ planId, intent, baseVersion, effects, after });
  });
}

function createNoChangeError(intent: Intent): InvalidInputError {
  return new InvalidInputError(
    `The configuration is already as ${intent.kind} asks for; there is nothing to confirm.`,
    { step: 'assemble plan' },
  );
}
