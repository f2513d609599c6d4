/** Plans a configuration change: lists its effects and warnings before an operator confirms it. */
import {
  assembleChangePlan,
  type ChangePlan,
  describeEffect,
  describeWarning,
  listWarnings,
  predictTargetImpact,
  parseIntent,
  type PlanView,
} from '@cranberryturn/configuration';
import { InvalidInputError } from '@cranberryturn/errors';
import { type Intent, IntentKind } from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

import type { ControlState } from './control-state.js';

type PlanState = Pick<ControlState, 'configuration' | 'roster'>;

/**
 * Computes the plan of an unchecked intent. Changes no state; fails when the intent is not valid.
 */
export function planChange(
  state: PlanState,
  input: unknown,
): Result<PlanView, InvalidInputError> {
  return parseIntent(input)
    .map(intent => addAnnouncedLocation(state, intent))
    .andThen(intent => checkDrainLocation(state, intent))
    .andThen(intent =>
      assembleChangePlan(state.configuration.configuration, intent),
    )
    .map(plan => composePlanView(state, plan));
}

function composePlanView(state: PlanState, plan: ChangePlan): PlanView {
  const { planId, intent, baseVersion, effects, after } = plan;
  const observation = predictTargetImpact(
    state.configuration.configuration,
    after,
    [...state.roster.targets.values()],
  );
  return {
    planId,
    intent,
    baseVersion,
    effects: effects.map(effect => ({
      ...effect,
      sentence: describeEffect(effect),
    })),
    warnings: listWarnings(plan, observation).map(warning => ({
      ...warning,
      sentence: describeWarning(warning),
    })),
    observation,
  };
}

/**
 * Adds service, rack and data centre to an intent about a worker that is announced but may not be
 * declared.
 */
function addAnnouncedLocation(state: PlanState, intent: Intent): Intent {
  if (
    intent.kind !== IntentKind.RemoveWorker &&
    intent.kind !== IntentKind.DrainWorker
  ) {
    return intent;
  }
  const target = state.roster.targets.get(intent.targetId);
  if (target === undefined) return intent;
  const { service, rack, dataCentre } = target;
  return { ...intent, announced: { service, rack, dataCentre } };
}

/** Refuses to drain a rack or data centre without any declared or announced worker. */
function checkDrainLocation(
  state: PlanState,
  intent: Intent,
): Result<Intent, InvalidInputError> {
  const knownWorkers = [
    ...state.configuration.configuration.workers,
    ...state.roster.targets.values(),
  ];
  if (
    intent.kind === IntentKind.DrainRack &&
    !knownWorkers.some(place => place.rack === intent.rack)
  ) {
    return refuseUnknownLocation(
      'rack',
      intent.rack,
      knownWorkers.map(place => place.rack),
    );
  }
  if (
    intent.kind === IntentKind.DrainDataCentre &&
    !knownWorkers.some(place => place.dataCentre === intent.dataCentre)
  ) {
    return refuseUnknownLocation(
      'data centre',
      intent.dataCentre,
      knownWorkers.map(place => place.dataCentre),
    );
  }
  return ok(intent);
}

function refuseUnknownLocation(
  kind: string,
  name: string,
  known: readonly string[],
): Result<never, InvalidInputError> {
  const names = [...new Set(known)].sort().join(', ');
  return err(
    new InvalidInputError(
      `No worker was declared or announced in ${kind} ${name}; known: ${names || 'none'}. Nothing was changed.`,
      { step: 'plan change' },
    ),
  );
}
