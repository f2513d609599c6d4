import { defaultClaimRetention } from '@cranberryturn/claims';
import { defaultRosterRetention } from '@cranberryturn/membership';
import {
  type ClaimOutcome,
  ClaimOutcomeKind,
  ClaimRefusal,
  IntentKind,
} from '@cranberryturn/types';
import { ControlMethod } from '@cranberryturn/wire';
import test from 'ava';

import {
  type ControlOperation,
  encodeOperations,
  OperationKind,
  OperationOutcomeKind,
} from './control-operations.js';
import { createControlState } from './control-state.js';
import { planChange } from './plan-change.js';

const retention = {
  claims: defaultClaimRetention,
  roster: defaultRosterRetention,
};
const tooOld = { kind: ClaimOutcomeKind.Refused, reason: ClaimRefusal.TooOld };
const second = 1_000;

function createMachine() {
  let state = createControlState(retention);
  let index = 0;
  let time = 1_000_000;
  const apply = (operation: ControlOperation) => {
    index += 1;
    const command = encodeOperations([operation]);
    return state.apply({ index, term: 1, leaderTime: time, command })[0];
  };
  return {
    now: () => time,
    advance: (milliseconds: number) => {
      time += milliseconds;
    },
    restore: () => {
      const bytes = state.snapshot();
      state = createControlState(retention);
      state.restore(bytes, index);
    },
    claims: () => state.claims,
    setRetention: (finishedMilliseconds: number, maximumClaims: number) => {
      const plan = planChange(state, {
        kind: IntentKind.SetClaimRetention,
        retention: {
          finishedMilliseconds,
          unfinishedMilliseconds: 3_600_000,
          maximumClaims,
        },
      })._unsafeUnwrap();
      const requestId = `request-${String(index)}`;
      apply({
        kind: OperationKind.Confirm,
        request: { planId: plan.planId, requestId, operator: 'linh' },
      });
      return plan.effects.map(effect => effect.sentence);
    },
    finish: (jobId: string) =>
      apply({
        kind: OperationKind.Call,
        call: {
          method: ControlMethod.FinishClaims,
          finished: [{ team: 'wards', jobId, epoch: 1 }],
        },
      }),
    claim: (jobId: string, submittedAt?: number): ClaimOutcome => {
      const outcome = apply({
        kind: OperationKind.Call,
        call: {
          method: ControlMethod.Claim,
          claim: {
            team: 'wards',
            jobId,
            service: 'register-svc',
            digest: 'aa',
            owner: { dispatcherId: 'd1', incarnation: 'run-1' },
            submissionId: jobId,
            submittedAt,
          },
        },
      });
      if (outcome?.kind !== OperationOutcomeKind.Claim) {
        throw new Error('The state returned no claim outcome.');
      }
      return outcome.outcome;
    },
  };
}

test('a longer retention does not accept a dropped job as a new one', t => {
  const machine = createMachine();
  const [sentence] = machine.setRetention(10 * second, 1_000);
  t.snapshot(sentence);
  const submittedAt = machine.now();
  machine.claim('job-1', submittedAt);
  machine.finish('job-1');
  machine.advance(15 * second);
  machine.claim('job-2');
  t.is(machine.claims().size, 1);
  machine.setRetention(600 * second, 1_000);
  machine.restore();
  t.deepEqual(machine.claim('job-1', submittedAt), tooOld);
  t.is(
    machine.claim('job-3', machine.now() - second).kind,
    ClaimOutcomeKind.Granted,
  );
});

test('the configured maximum of claims holds after a restore and can be raised', t => {
  const machine = createMachine();
  machine.setRetention(600 * second, 1_000);
  machine.restore();
  for (let job = 0; job < 1_000; job += 1) machine.claim(`job-${String(job)}`);
  const full = { ...tooOld, reason: ClaimRefusal.TableFull };
  t.deepEqual(machine.claim('one-more'), full);
  machine.setRetention(600 * second, 2_000);
  t.is(machine.claim('one-more').kind, ClaimOutcomeKind.Granted);
});
