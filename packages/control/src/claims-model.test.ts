import { isDeepStrictEqual } from 'node:util';

import { defaultRosterRetention } from '@cranberryturn/membership';
import type { ClaimRequest, ClaimRetention } from '@cranberryturn/types';
import { ControlMethod } from '@cranberryturn/wire';
import test from 'ava';
import fc from 'fast-check';

import {
  type ControlWrite,
  encodeOperations,
  OperationKind,
  OperationOutcomeKind,
} from './control-operations.js';
import { createControlState } from './control-state.js';
import { composeComparableOutcome, ModelClaims } from './fakes/model-claims.js';

const seed = 20_261_203;
const runs = 500;

enum Action {
  Claim = 'claim',
  Adopt = 'adopt',
  Finish = 'finish',
  Snapshot = 'snapshot',
  Later = 'later',
}

const stepArbitrary = fc.record({
  action: fc.constantFrom(
    Action.Claim,
    Action.Claim,
    Action.Adopt,
    Action.Finish,
    Action.Snapshot,
    Action.Later,
  ),
  job: fc.nat(15),
  digest: fc.constantFrom('aa', 'aa', 'aa', 'bb'),
  owner: fc.nat(2),
  submission: fc.nat(2),
  epoch: fc.integer({ min: 1, max: 3 }),
  seconds: fc.nat(9),
});

interface Step {
  readonly action: Action;
  readonly job: number;
  readonly digest: string;
  readonly owner: number;
  readonly submission: number;
  readonly epoch: number;
  readonly seconds: number;
}

/** Creates a control state and a reference model that receive the same requests. */
function createPair(claims: ClaimRetention) {
  const retention = { claims, roster: defaultRosterRetention };
  const model = new ModelClaims(claims);
  let state = createControlState(retention);
  let index = 0;
  let time = 0;
  const apply = (call: ControlWrite) => {
    index += 1;
    model.dropExpired(time);
    const command = encodeOperations([{ kind: OperationKind.Call, call }]);
    return state.apply({ index, term: 1, leaderTime: time, command })[0];
  };
  return {
    sizes: () => {
      const { unfinished, finished } = state.claims;
      return [
        model.sizes,
        { unfinished: unfinished.size, finished: finished.size },
      ] as const;
    },
    advance: (milliseconds: number) => {
      time += milliseconds;
    },
    restore: () => {
      const bytes = state.snapshot();
      state = createControlState(retention);
      state.restore(bytes, index);
    },
    finish: (jobId: string, epoch: number) => {
      const finished = [{ team: 'wards', jobId, epoch }];
      apply({ method: ControlMethod.FinishClaims, finished });
      model.finish(jobId, epoch, time);
    },
    submit: (request: ClaimRequest, expectedEpoch: number | undefined) => {
      const adopt =
        expectedEpoch === undefined ? undefined : { ...request, expectedEpoch };
      const outcome = apply(
        adopt === undefined
          ? { method: ControlMethod.Claim, claim: request }
          : { method: ControlMethod.Adopt, adopt },
      );
      if (outcome?.kind !== OperationOutcomeKind.Claim) {
        throw new Error('The state returned no claim outcome.');
      }
      return [
        composeComparableOutcome(outcome.outcome, request.submissionId),
        model.submit(adopt ?? request, index, time),
      ] as const;
    },
  };
}

function composeRequest(step: Step): ClaimRequest {
  return {
    team: 'wards',
    jobId: `job-${String(step.job)}`,
    service: 'register-svc',
    digest: step.digest,
    owner: { dispatcherId: `d${String(step.owner)}`, incarnation: 'run-1' },
    submissionId: `s${String(step.submission)}`,
  };
}

/**
 * Applies a step; returns the outcomes of the state and the model, both undefined for steps without
 * an outcome.
 */
function applyStep(
  pair: ReturnType<typeof createPair>,
  step: Step,
): readonly [unknown, unknown] {
  const request = composeRequest(step);
  switch (step.action) {
    case Action.Claim:
      return pair.submit(request, undefined);
    case Action.Adopt:
      return pair.submit(request, step.epoch);
    case Action.Finish:
      pair.finish(request.jobId, step.epoch);
      break;
    case Action.Snapshot:
      pair.restore();
      break;
    case Action.Later:
      pair.advance(step.seconds * 1_000);
      break;
  }
  return [undefined, undefined];
}

function isEqualPair([actual, expected]: readonly [unknown, unknown]): boolean {
  return isDeepStrictEqual(actual, expected);
}

test(`the claim table agrees with the reference model under random claims, expiries and restores (seed ${String(seed)})`, t => {
  const retention = {
    finishedMilliseconds: 5_000,
    unfinishedMilliseconds: 20_000,
    maximumClaims: 10,
  };
  const property = fc.property(
    fc.array(stepArbitrary, { minLength: 20, maxLength: 120 }),
    steps => {
      const pair = createPair(retention);
      for (const step of steps) {
        if (!isEqualPair(applyStep(pair, step)) || !isEqualPair(pair.sizes())) {
          return false;
        }
      }
      return true;
    },
  );
  t.notThrows(() => {
    fc.assert(property, { seed, numRuns: runs });
  });
});

test('tens of thousands of claims are still found after neighbouring claims were dropped', t => {
  const pair = createPair({
    finishedMilliseconds: 5_000,
    unfinishedMilliseconds: 20_000,
    maximumClaims: 100_000,
  });
  const jobs = 40_000;
  const requestOf = (job: number) =>
    composeRequest({
      action: Action.Claim,
      job,
      digest: 'aa',
      owner: job % 3,
      submission: job % 3,
      epoch: 1,
      seconds: 0,
    });
  const ask = (job: number) => {
    if (!isEqualPair(pair.submit(requestOf(job), undefined))) different += 1;
  };
  let different = 0;
  for (let job = 0; job < jobs; job += 1) ask(job);
  for (let job = 0; job < jobs; job += 3) pair.finish(`job-${String(job)}`, 1);
  pair.advance(6_000);
  for (let job = 0; job < jobs; job += 1) ask(job);
  pair.restore();
  for (let job = 0; job < jobs; job += 2) ask(job);
  t.is(different, 0);
  t.deepEqual(...pair.sizes());
});
