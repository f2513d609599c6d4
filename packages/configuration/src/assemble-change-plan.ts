/** Assembles the plan of a change: a pure computation that changes nothing. */
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

/** Everything that a change will do. */
export interface ChangePlan {
  readonly planId: string;
  readonly intent: Intent;
  /** Version that must still be current when the plan is confirmed. */
  readonly baseVersion: ConfigurationVersion;
  readonly effects: readonly Effect[];
  /** Configuration that the change makes. */
  readonly after: ClusterConfiguration;
}

/** Computes the plan of an intent; the same configuration and intent give the same identifier everywhere. */
export function assembleChangePlan(
  configuration: ClusterConfiguration,
  intent: Intent,
): Result<ChangePlan, InvalidInputError> {
  return applyIntent(configuration, intent).andThen(after => {
    const effects = listEffects(configuration, after);
    if (effects.length === 0) return err(nothingToDo(intent));
    const baseVersion = configuration.version;
    const digest = digestPlan(intent, baseVersion, effects);
    const planId = composePlanIdentifier({ intent, baseVersion, digest });
    return ok({ planId, intent, baseVersion, effects, after });
  });
}

function nothingToDo(intent: Intent): InvalidInputError {
  return new InvalidInputError(
    `The configuration is already as ${intent.kind} asks for; there is nothing to confirm.`,
    { step: 'assemble plan' },
  );
}
