/** The replicated state machine of control: claims, roster, configuration, publication and evacuations. */
import {
  applyAdoption,
  applyClaim,
  applyFinish,
  type ClaimContext,
  ClaimTable,
} from '@cranberryturn/claims';
import {
  applyConfirmation,
  applyInitialConfiguration,
  captureConfigurationState,
  type ConfigurationState,
  createConfigurationState,
  restoreConfigurationState,
} from '@cranberryturn/configuration';
import {
  captureRosterState,
  createRosterState,
  dropRetiredRuns,
  expireRuns,
  findDispatcherAddress,
  listWitnesses,
  registerDispatcher,
  registerTarget,
  restoreRosterState,
  retireDispatcher,
  retireTarget,
  type RosterRetention,
  type RosterState,
} from '@cranberryturn/membership';
import type {
  CommittedEntry,
  StateMachine,
} from '@cranberryturn/replicated-log';
import {
  type ClaimRetention,
  noPublication,
  type Publication,
} from '@cranberryturn/types';
import { ControlMethod } from '@cranberryturn/wire';

import {
  type ControlOperation,
  type ControlWrite,
  decodeOperations,
  OperationKind,
  type OperationOutcome,
  OperationOutcomeKind,
} from './control-operations.js';
import {
  decodeControlSnapshot,
  encodeControlSnapshot,
} from './control-snapshot.js';
import {
  applyEvacuationOrder,
  emptyEvacuationRecord,
  type EvacuationRecord,
} from './evacuations.js';

/** Limits on how much and how long control remembers. */
export interface ControlRetention {
  readonly claims: ClaimRetention;
  readonly roster: RosterRetention;
}

/** The outcomes of one log entry, one for each operation and in the same order. */
export type EntryOutcome = readonly OperationOutcome[];

/** The state machine and read access to its state. */
export interface ControlState extends StateMachine<EntryOutcome> {
  readonly claims: ClaimTable;
  readonly roster: RosterState;
  readonly configuration: ConfigurationState;
  /** The publication in force, which is the one with the highest version. */
  readonly publication: Publication;
  readonly evacuations: EvacuationRecord;
}

/**
 * Creates an empty state. Deterministic: replicas that apply the same entries have the same state.
 */
export function createControlState(retention: ControlRetention): ControlState {
  let claims = new ClaimTable();
  let roster = createRosterState();
  let configuration = createConfigurationState();
  let publication = noPublication;
  let evacuations = emptyEvacuationRecord;

  /**
   * The retention that operators set is part of the log and therefore the same at every replica.
   */
  const claimRetention = (): ClaimRetention =>
    configuration.configuration.claimRetention ?? retention.claims;

  const applyCall = (
    call: ControlWrite,
    entry: CommittedEntry,
  ): OperationOutcome => {
    switch (call.method) {
      case ControlMethod.Claim:
        return {
          kind: OperationOutcomeKind.Claim,
          outcome: applyClaim(
            claims,
            call.claim,
            composeClaimContext(roster, claimRetention(), entry),
          ),
        };
      case ControlMethod.Adopt:
        return {
          kind: OperationOutcomeKind.Claim,
          outcome: applyAdoption(
            claims,
            call.adopt,
            composeClaimContext(roster, claimRetention(), entry),
          ),
        };
      case ControlMethod.FinishClaims:
        for (const { team, jobId, epoch } of call.finished) {
          applyFinish(claims, team, jobId, epoch, entry.leaderTime);
        }
        return composeDoneOutcome(entry.index);
      case ControlMethod.RegisterDispatcher:
        return composeDoneOutcome(
          registerDispatcher(roster, call.dispatcher, entry),
        );
      case ControlMethod.RetireDispatcher:
        retireDispatcher(roster, call.dispatcher, entry);
        return composeDoneOutcome(entry.index);
      case ControlMethod.RegisterTarget:
        return composeDoneOutcome(registerTarget(roster, call.target, entry));
      case ControlMethod.RetireTarget:
        retireTarget(roster, call.target, entry);
        return composeDoneOutcome(entry.index);
    }
  };

  const applyOperation = (
    operation: ControlOperation,
    entry: CommittedEntry,
  ): OperationOutcome => {
    switch (operation.kind) {
      case OperationKind.Call:
        return applyCall(operation.call, entry);
      case OperationKind.Confirm:
        return {
          kind: OperationOutcomeKind.Confirm,
          outcome: applyConfirmation(
            configuration,
            operation.request,
            entry.leaderTime,
          ),
        };
      case OperationKind.Initialize:
        applyInitialConfiguration(configuration, operation.configuration);
        return composeDoneOutcome(entry.index);
      case OperationKind.ExpireRuns:
        expireRuns(roster, operation.expired, entry);
        return composeDoneOutcome(entry.index);
      case OperationKind.Publish:
        // Another document with the same version is ignored.
        if (operation.publication.version > publication.version) {
          publication = operation.publication;
        }
        return composeDoneOutcome(entry.index);
      case OperationKind.Evacuate: {
        const { order, requestId } = operation;
        const { result, record } = applyEvacuationOrder(
          evacuations,
          order,
          entry,
        );
        evacuations = record;
        const { state } = record;
        const kind = OperationOutcomeKind.Evacuation;
        return { kind, result, order, requestId, state };
      }
    }
  };

  return {
    get claims() {
      return claims;
    },
    get roster() {
      return roster;
    },
    get configuration() {
      return configuration;
    },
    get publication() {
      return publication;
    },
    get evacuations() {
      return evacuations;
    },
    apply: entry => {
      claims.dropExpired(claimRetention(), entry.leaderTime);
      dropRetiredRuns(roster, retention.roster, entry.leaderTime);
      return decodeOperations(entry.command).map(operation =>
        applyOperation(operation, entry),
      );
    },
    snapshot: () =>
      encodeControlSnapshot({
        claims,
        roster: captureRosterState(roster),
        configuration: captureConfigurationState(configuration),
        publication,
        evacuations,
      }),
    restore: bytes => {
      const snapshot = decodeControlSnapshot(bytes);
      claims = snapshot.claims;
      roster = restoreRosterState(snapshot.roster);
      configuration = restoreConfigurationState(snapshot.configuration);
      publication = snapshot.publication;
      evacuations = snapshot.evacuations;
    },
  };
}

function composeClaimContext(
  roster: RosterState,
  retention: ClaimRetention,
  { index, leaderTime }: CommittedEntry,
): ClaimContext {
  return {
    index,
    leaderTime,
    retention,
    roster: {
      version: roster.version,
      findOwnerAddress: owner => findDispatcherAddress(roster, owner),
      listWitnesses: (service, since, until) =>
        listWitnesses(roster, service, since, until),
    },
  };
}

function composeDoneOutcome(index: number): OperationOutcome {
  return { kind: OperationOutcomeKind.Done, index };
}
