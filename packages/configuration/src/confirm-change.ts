/** Applies committed confirms: at most one change for each base version. */
import {
  type ClusterConfiguration,
  type ConfigurationChange,
  emptyConfiguration,
  type Milliseconds,
} from '@cranberryturn/types';

import { assembleChangePlan } from './assemble-change-plan.js';
import {
  type ConfigurationState,
  type ConfirmOutcome,
  ConfirmOutcomeKind,
  findChange,
  trimConfigurationState,
} from './configuration-state.js';
import { type PlanReference, parsePlanIdentifier } from './plan-identifier.js';

/** An operator confirms a plan. */
export interface ConfirmRequest {
  readonly planId: string;
  /** Names this confirm; sent again with the same identifier, it gets its first outcome. */
  readonly requestId: string;
  readonly operator: string;
}

/** Applies a confirm that was committed at `leaderTime`. */
export function applyConfirmation(
  state: ConfigurationState,
  request: ConfirmRequest,
  leaderTime: Milliseconds,
): ConfirmOutcome {
  const { planId, requestId } = request;
  const recorded = state.outcomes.get(requestId);
  if (recorded?.planId === planId) return recorded.outcome;
  if (recorded !== undefined) {
    return reject(
      `The request identifier ${requestId} was used to confirm another plan; send this confirm with a new one.`,
    );
  }
  const outcome = parsePlanIdentifier(planId).match(
    plan => decide(state, plan, request, leaderTime),
    error => reject(error.message),
  );
  state.outcomes.set(requestId, { requestId, planId, at: leaderTime, outcome });
  trimConfigurationState(state, leaderTime);
  return outcome;
}

/** Sets the first configuration; does nothing once there is one. */
export function applyInitialConfiguration(
  state: ConfigurationState,
  initial: Omit<ClusterConfiguration, 'version'>,
): boolean {
  const { configuration } = state;
  if (configuration.version > emptyConfiguration.version) return false;
  state.configuration = { ...initial, version: configuration.version + 1 };
  return true;
}

function decide(
  state: ConfigurationState,
  { intent, baseVersion, digest }: PlanReference,
  { planId, operator }: ConfirmRequest,
  leaderTime: Milliseconds,
): ConfirmOutcome {
  const { configuration } = state;
  if (baseVersion < configuration.version) return conflict(state, baseVersion);
  if (baseVersion > configuration.version) {
    return reject(
      `The plan is for version ${String(baseVersion)}, which does not exist; plan again.`,
    );
  }
  const plan = assembleChangePlan(configuration, intent);
  if (plan.isErr()) return reject(plan.error.message);
  if (plan.value.planId !== planId) {
    return reject(
      `The effects have another digest than ${digest}; the identifier was altered or the versions of the programs differ. Plan again. Nothing was changed.`,
    );
  }
  const change: ConfigurationChange = {
    version: plan.value.after.version,
    intent,
    operator,
    at: leaderTime,
  };
  state.configuration = plan.value.after;
  state.history.push(change);
  return { kind: ConfirmOutcomeKind.Accepted, change };
}

function conflict(
  state: ConfigurationState,
  baseVersion: number,
): ConfirmOutcome {
  return {
    kind: ConfirmOutcomeKind.Conflict,
    currentVersion: state.configuration.version,
    winner: findChange(state, baseVersion + 1),
  };
}

function reject(reason: string): ConfirmOutcome {
  return { kind: ConfirmOutcomeKind.Rejected, reason };
}
