/** Applies committed confirmations: at most one change is accepted for each base version. */
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

/** Confirmation of a plan by an operator. */
export interface ConfirmRequest {
  readonly planId: string;
  /** Idempotency key: a retry with the same identifier and plan returns the first outcome. */
  readonly requestId: string;
  readonly operator: string;
}

/**
 * Applies a committed confirmation. `leaderTime` is the time that the leader
 * put into the log entry, so that all replicas compute the same state.
 */
export function applyConfirmation(
  state: ConfigurationState,
  request: ConfirmRequest,
  leaderTime: Milliseconds,
): ConfirmOutcome {
  const { planId, requestId } = request;
  const recorded = state.outcomes.get(requestId);
  if (recorded?.planId === planId) return recorded.outcome;
  if (recorded !== undefined) {
    return composeRejection(
      `The request identifier ${requestId} was used to confirm another plan; send this confirm with a new one.`,
    );
  }
  const outcome = parsePlanIdentifier(planId).match(
    plan => confirmPlan(state, plan, request, leaderTime),
    error => composeRejection(error.message),
  );
  state.outcomes.set(requestId, { requestId, planId, at: leaderTime, outcome });
  trimConfigurationState(state, leaderTime);
  return outcome;
}

/** Sets the initial configuration. Returns false, without a change, when there is one already. */
export function applyInitialConfiguration(
  state: ConfigurationState,
  initial: Omit<ClusterConfiguration, 'version'>,
): boolean {
  const { configuration } = state;
  if (configuration.version > emptyConfiguration.version) return false;
  state.configuration = { ...initial, version: configuration.version + 1 };
  return true;
}

function confirmPlan(
  state: ConfigurationState,
  { intent, baseVersion, digest }: PlanReference,
  { planId, operator }: ConfirmRequest,
  leaderTime: Milliseconds,
): ConfirmOutcome {
  const { configuration } = state;
  if (baseVersion < configuration.version)
    return composeConflict(state, baseVersion);
  if (baseVersion > configuration.version) {
    return composeRejection(
      `The plan is for version ${String(baseVersion)}, which does not exist; plan again.`,
    );
  }
  const plan = assembleChangePlan(configuration, intent);
  if (plan.isErr()) return composeRejection(plan.error.message);
  if (plan.value.planId !== planId) {
    return composeRejection(
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

function composeConflict(
  state: ConfigurationState,
  baseVersion: number,
): ConfirmOutcome {
  return {
    kind: ConfirmOutcomeKind.Conflict,
    currentVersion: state.configuration.version,
    winner: findChange(state, baseVersion + 1),
  };
}

/**
 * The reason is stored in the replicated state, also when it comes from
 * `applyIntent`: a rewording makes replicas of different versions differ.
 */
function composeRejection(reason: string): ConfirmOutcome {
  return { kind: ConfirmOutcomeKind.Rejected, reason };
}
