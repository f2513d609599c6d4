/** Measures the state machine of control: entries are applied without a replicated log. */
import { defaultClaimRetention } from '@cranberryturn/claims';
import { assembleChangePlan } from '@cranberryturn/configuration';
import {
  type ControlOperation,
  type ControlState,
  createControlState,
  encodeOperations,
  OperationKind,
} from '@cranberryturn/control';
import { defaultRosterRetention } from '@cranberryturn/membership';
import { IntentKind } from '@cranberryturn/types';
import { ControlMethod } from '@cranberryturn/wire';

import { composeAnnouncement, measuredService } from '../parts/identities.js';
import type { ScenarioInput, ScenarioSide } from '../scenario.js';

const claimsPerEntry = 20;
const teams = 98;

/** Starts a state machine that applies `size` claims, 20 to an entry. */
export function startClaims({ size }: ScenarioInput): Promise<ScenarioSide> {
  return startSide(size, (state, apply) => {
    void state;
    for (let first = 0; first < size; first += claimsPerEntry) {
      const count = Math.min(claimsPerEntry, size - first);
      apply(
        Array.from({ length: count }, (_, one) => composeClaim(first + one)),
      );
    }
  });
}

/** Starts a state machine that applies `size` changes of quotas, one to an entry. */
export function startChanges({ size }: ScenarioInput): Promise<ScenarioSide> {
  return startSide(size, (state, apply) => {
    for (let number = 0; number < size; number += 1) {
      apply([composeChange(state, number)]);
    }
  });
}

/** Starts a state machine that registers `size` workers, one to an entry. */
export function startRoster({ size }: ScenarioInput): Promise<ScenarioSide> {
  return startSide(size, (state, apply) => {
    void state;
    for (let number = 0; number < size; number += 1) {
      apply([composeRegistration(number)]);
    }
  });
}

function startSide(
  size: number,
  run: (
    state: ControlState,
    apply: (operations: readonly ControlOperation[]) => void,
  ) => void,
): Promise<ScenarioSide> {
  const state = createControlState({
    claims: defaultClaimRetention,
    roster: defaultRosterRetention,
  });
  let index = 0;
  let bytes = 0;
  const apply = (operations: readonly ControlOperation[]): void => {
    index += 1;
    const command = encodeOperations(operations);
    bytes += command.byteLength;
    state.apply({ index, term: 1, leaderTime: index, command });
  };
  return Promise.resolve({
    addresses: [],
    ready: () => Promise.resolve(),
    work: () => {
      run(state, apply);
      return Promise.resolve(size);
    },
    traffic: () => ({ messages: index, bytes }),
  });
}

function composeClaim(number: number): ControlOperation {
  const text = String(number).padStart(12, '0');
  return {
    kind: OperationKind.Call,
    call: {
      method: ControlMethod.Claim,
      claim: {
        team: `team-${String(number % teams)}`,
        jobId: `team-${String(number % teams)}/job-${text}`,
        service: measuredService,
        digest: text.repeat(3).slice(0, 32),
        owner: { dispatcherId: 'dispatcher-1', incarnation: 'run-1' },
        submissionId: `00000000-0000-4000-8000-${text}`,
      },
    },
  };
}

function composeRegistration(number: number): ControlOperation {
  return {
    kind: OperationKind.Call,
    call: {
      method: ControlMethod.RegisterTarget,
      target: composeAnnouncement(number),
    },
  };
}

function composeChange(state: ControlState, number: number): ControlOperation {
  const plan = assembleChangePlan(state.configuration.configuration, {
    kind: IntentKind.SetQuota,
    team: {
      team: `team-${String(number % teams)}`,
      weight: 1,
      concurrencyQuota: number + 1,
    },
  });
  if (plan.isErr()) throw plan.error;
  return {
    kind: OperationKind.Confirm,
    request: {
      planId: plan.value.planId,
      requestId: `request-${String(number)}`,
      operator: 'bench',
    },
  };
}
