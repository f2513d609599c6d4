/** Executes administration calls on the leader. */
import {
  type ConfirmOutcome,
  ConfirmOutcomeKind,
  type ConfirmRequest,
} from '@cranberryturn/configuration';
import type { ReplicatedLog } from '@cranberryturn/replicated-log';
import type {
  ConfigurationChange,
  EvacuationOrder,
  Milliseconds,
  Publication,
} from '@cranberryturn/types';

import {
  type AdministrationCall,
  AdministrationMethod,
  type AdministrationReply,
  AdministrationReplyKind,
} from './administration-calls.js';
import type { OperationProposer } from './batch-operations.js';
import type { ControlState, EntryOutcome } from './control-state.js';
import { composeStatus, type StatusSources } from './compose-status.js';
import { OperationKind, OperationOutcomeKind } from './control-operations.js';
import { EvacuationResult } from './evacuations.js';
import { planChange } from './plan-change.js';

/** Dependencies of the administration calls. */
export interface AdministrationServices extends StatusSources {
  readonly proposer: OperationProposer;
  readonly state: Pick<
    ControlState,
    'claims' | 'roster' | 'configuration' | 'publication' | 'evacuations'
  >;
  readonly log: Pick<ReplicatedLog<EntryOutcome>, 'confirmLeadership'>;
}

/** Executes one call on this replica. Replies `Unavailable` when this replica is not the leader. */
export async function administerControl(
  services: AdministrationServices,
  call: AdministrationCall,
): Promise<AdministrationReply> {
  const { state, log, proposer } = services;
  if (call.method === AdministrationMethod.Confirm) {
    return await confirmPlan(proposer, call.request);
  }
  if (call.method === AdministrationMethod.Publish) {
    return await publishConfiguration(services, call.publication);
  }
  if (call.method === AdministrationMethod.OrderEvacuation) {
    return await orderEvacuation(proposer, call.order, call.requestId);
  }
  // Reads confirm leadership first, so that a deposed leader does not return stale state.
  const proved = await log.confirmLeadership();
  if (proved.isErr()) {
    return composeRefusal(
      AdministrationReplyKind.Unavailable,
      proved.error.message,
    );
  }
  switch (call.method) {
    case AdministrationMethod.Plan:
      return planChange(state, call.input).match(
        view => ({ kind: AdministrationReplyKind.Done, view }),
        error => composeRefusal(AdministrationReplyKind.Invalid, error.message),
      );
    case AdministrationMethod.Status:
      return {
        kind: AdministrationReplyKind.Done,
        view: composeStatus(services),
      };
    case AdministrationMethod.History:
      return {
        kind: AdministrationReplyKind.Done,
        view: {
          changes: state.configuration.history.slice(-call.limit).reverse(),
        },
      };
    case AdministrationMethod.ReadPublication:
      return { kind: AdministrationReplyKind.Done, view: state.publication };
    case AdministrationMethod.ListEvacuations:
      return {
        kind: AdministrationReplyKind.Done,
        view: state.evacuations.state,
      };
  }
}

/** Composes a refusal; `error` is a full sentence for the operator. */
export function composeRefusal(
  kind: Exclude<AdministrationReplyKind, AdministrationReplyKind.Done>,
  error: string,
): AdministrationReply {
  return { kind, refusal: { error } };
}

async function confirmPlan(
  proposer: OperationProposer,
  request: ConfirmRequest,
): Promise<AdministrationReply> {
  const submitted = await proposer.submit({
    kind: OperationKind.Confirm,
    request,
  });
  if (submitted.isErr()) {
    return composeRefusal(
      AdministrationReplyKind.Unavailable,
      `${submitted.error.message} The change may still be accepted: send the same confirm again with the same request identifier.`,
    );
  }
  const outcome = submitted.value;
  if (outcome.kind !== OperationOutcomeKind.Confirm) {
    return composeRefusal(
      AdministrationReplyKind.Unavailable,
      'The log returned no outcome for this confirm; send it again with the same request identifier.',
    );
  }
  return composeConfirmReply(outcome.outcome);
}

/** The reply carries the publication in force after this one, which may have a higher version. */
async function publishConfiguration(
  { proposer, state }: AdministrationServices,
  publication: Publication,
): Promise<AdministrationReply> {
  const submitted = await proposer.submit({
    kind: OperationKind.Publish,
    publication,
  });
  if (submitted.isErr()) {
    return composeRefusal(
      AdministrationReplyKind.Unavailable,
      `${submitted.error.message} The configuration may still be put in force: send it again.`,
    );
  }
  return { kind: AdministrationReplyKind.Done, view: state.publication };
}

async function orderEvacuation(
  proposer: OperationProposer,
  order: EvacuationOrder,
  requestId: string,
): Promise<AdministrationReply> {
  const submitted = await proposer.submit({
    kind: OperationKind.Evacuate,
    order,
    requestId,
  });
  if (submitted.isErr()) {
    return composeRefusal(
      AdministrationReplyKind.Unavailable,
      `${submitted.error.message} The order is not acknowledged and may still take effect: send it again.`,
    );
  }
  const outcome = submitted.value;
  if (outcome.kind !== OperationOutcomeKind.Evacuation) {
    return composeRefusal(
      AdministrationReplyKind.Unavailable,
      'The log returned no outcome for this order; send it again.',
    );
  }
  if (outcome.result === EvacuationResult.Overtaken) {
    return composeRefusal(
      AdministrationReplyKind.Unavailable,
      `The opposite order for ${order.dataCentre} was acknowledged after this one had arrived. Nothing was changed; send the order again if it is still wanted.`,
    );
  }
  return {
    kind: AdministrationReplyKind.Done,
    view: {
      ...outcome.state,
      changed: outcome.result === EvacuationResult.Changed,
    },
  };
}

function composeConfirmReply(outcome: ConfirmOutcome): AdministrationReply {
  switch (outcome.kind) {
    case ConfirmOutcomeKind.Accepted: {
      const { change } = outcome;
      return {
        kind: AdministrationReplyKind.Done,
        view: { version: change.version, change },
      };
    }
    case ConfirmOutcomeKind.Conflict: {
      const { winner, currentVersion } = outcome;
      const error = describeConflict(winner, currentVersion);
      return {
        kind: AdministrationReplyKind.Conflict,
        refusal: { error, winner, currentVersion },
      };
    }
    case ConfirmOutcomeKind.Rejected:
      return composeRefusal(AdministrationReplyKind.Invalid, outcome.reason);
  }
}

function describeConflict(
  winner: ConfigurationChange | undefined,
  currentVersion: number,
): string {
  const advice = `Version ${String(currentVersion)} is current now; plan again. Nothing was changed.`;
  if (winner === undefined) {
    return `Other changes were accepted first, and the history no longer holds the winning change. ${advice}`;
  }
  return `${winner.operator} changed the configuration first: ${winner.intent.kind}, version ${String(winner.version)}, at ${formatTime(winner.at)}. ${advice}`;
}

function formatTime(time: Milliseconds): string {
  return new Date(time).toISOString();
}
