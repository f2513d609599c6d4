import { defaultClaimRetention } from '@cranberryturn/claims';
import { defaultRosterRetention } from '@cranberryturn/membership';
import {
  ClaimOutcomeKind,
  ClaimRefusal,
  type ClaimGranted,
  type ClaimOutcome,
  type TargetAnnouncement,
} from '@cranberryturn/types';
import { ControlMethod } from '@cranberryturn/wire';
import test from 'ava';
import fc from 'fast-check';

import {
  type ControlOperation,
  type ControlWrite,
  encodeOperations,
  OperationKind,
  OperationOutcomeKind,
} from './control-operations.js';
import { type ControlState, createControlState } from './control-state.js';

const seed = 20_261_203;
const runs = 500;
const retention = {
  claims: defaultClaimRetention,
  roster: defaultRosterRetention,
};

interface Machine {
  state: ControlState;
  index: number;
  time: number;
}

function createMachine(): Machine {
  return { state: createControlState(retention), index: 0, time: 0 };
}

function apply(machine: Machine, call: ControlWrite) {
  return applyOperation(machine, { kind: OperationKind.Call, call });
}

function applyOperation(machine: Machine, operation: ControlOperation) {
  machine.index += 1;
  const command = encodeOperations([operation]);
  const { index, time } = machine;
  const [outcome] = machine.state.apply({
    index,
    term: 1,
    leaderTime: time,
    command,
  });
  return outcome;
}

function makeClaim(jobId: string, dispatcherId: string, submissionId: string) {
  return {
    team: 'wards',
    jobId,
    service: 'register-svc',
    digest: 'aa',
    owner: { dispatcherId, incarnation: 'run-1' },
    submissionId,
  };
}

function claim(machine: Machine, call: ControlWrite): ClaimOutcome {
  const outcome = apply(machine, call);
  if (outcome?.kind !== OperationOutcomeKind.Claim)
    throw new Error('No claim outcome.');
  return outcome.outcome;
}

function makeTarget(targetId: string, incarnation: string): TargetAnnouncement {
  return {
    targetId,
    incarnation,
    service: 'register-svc',
    host: targetId,
    rack: 'r1',
    dataCentre: 'hoan-kiem',
    resources: { processors: 64, memoryMebibytes: 131_072, accelerators: 0 },
    slots: 8,
    connections: 64,
  };
}

const stepArbitrary = fc.record({
  action: fc.constantFrom('claim', 'adopt', 'finish', 'snapshot', 'later'),
  job: fc.nat(2),
  owner: fc.nat(2),
  submission: fc.nat(2),
  epoch: fc.integer({ min: 1, max: 4 }),
});

test(`a job never has two owners in one epoch under random claims, adoptions and restores (seed ${String(seed)})`, t => {
  const property = fc.property(
    fc.array(stepArbitrary, { maxLength: 60 }),
    steps => {
      const machine = createMachine();
      const owners = new Map<string, string>();
      const highest = new Map<string, number>();
      for (const step of steps) {
        const jobId = `job-${String(step.job)}`;
        const dispatcherId = `d${String(step.owner)}`;
        const request = makeClaim(
          jobId,
          dispatcherId,
          `s${String(step.submission)}`,
        );
        if (step.action === 'later') machine.time += 1_000;
        if (step.action === 'snapshot') {
          const bytes = machine.state.snapshot();
          machine.state = createControlState(retention);
          machine.state.restore(bytes, machine.index);
        }
        if (step.action === 'finish') {
          const { epoch } = step;
          apply(machine, {
            method: ControlMethod.FinishClaims,
            finished: [{ team: 'wards', jobId, epoch }],
          });
        }
        if (step.action !== 'claim' && step.action !== 'adopt') continue;
        const outcome = claim(
          machine,
          step.action === 'claim'
            ? { method: ControlMethod.Claim, claim: request }
            : {
                method: ControlMethod.Adopt,
                adopt: { ...request, expectedEpoch: step.epoch },
              },
        );
        if (outcome.kind !== ClaimOutcomeKind.Granted) continue;
        const key = `${jobId} ${String(outcome.epoch)}`;
        const owner = owners.get(key) ?? dispatcherId;
        if (owner !== dispatcherId) return false;
        owners.set(key, owner);
        if (outcome.epoch < (highest.get(jobId) ?? 0)) return false;
        highest.set(jobId, outcome.epoch);
      }
      return true;
    },
  );
  t.notThrows(() => {
    fc.assert(property, { seed, numRuns: runs });
  });
});

test('an adoption lists every run that may have started tasks, also those that were retired since', t => {
  const machine = createMachine();
  const register = (target: TargetAnnouncement) =>
    apply(machine, { method: ControlMethod.RegisterTarget, target });
  register(makeTarget('w1', 'run-1'));
  register(makeTarget('w2', 'run-1'));
  register(makeTarget('w3', 'run-1'));
  apply(machine, {
    method: ControlMethod.RetireTarget,
    target: { targetId: 'w3', incarnation: 'run-1' },
  });
  const request = makeClaim('job-1', 'd1', 's1');
  const granted = claim(machine, {
    method: ControlMethod.Claim,
    claim: request,
  });
  register(makeTarget('w1', 'run-2'));
  apply(machine, {
    method: ControlMethod.RetireTarget,
    target: { targetId: 'w2', incarnation: 'run-1' },
  });
  const adopted = claim(machine, {
    method: ControlMethod.Adopt,
    adopt: { ...makeClaim('job-1', 'd2', 's2'), expectedEpoch: 1 },
  });
  t.snapshot([granted, adopted]);
});

test('a run that expired and returned is a witness of each job from both of its registrations', t => {
  const machine = createMachine();
  const run = { targetId: 'w1', incarnation: 'run-1' };
  const register = () =>
    apply(machine, {
      method: ControlMethod.RegisterTarget,
      target: makeTarget('w1', 'run-1'),
    });
  const expire = () => {
    const registeredAt =
      machine.state.roster.targets.get('w1')?.registeredAt ?? 0;
    const targets = [{ ...run, registeredAt }];
    applyOperation(machine, {
      kind: OperationKind.ExpireRuns,
      expired: { dispatchers: [], targets },
    });
  };
  const claimBy = (jobId: string) =>
    claim(machine, {
      method: ControlMethod.Claim,
      claim: makeClaim(jobId, 'd1', 's1'),
    });
  const isWitness = (jobId: string): boolean => {
    const outcome = claim(machine, {
      method: ControlMethod.Adopt,
      adopt: { ...makeClaim(jobId, 'd2', 's2'), expectedEpoch: 1 },
    }) as ClaimGranted;
    return outcome.witnesses.filter(one => one.targetId === 'w1').length === 1;
  };
  register();
  claimBy('first');
  expire();
  claimBy('between');
  const beforeReturn = isWitness('first');
  register();
  claimBy('second');
  expire();
  const bytes = machine.state.snapshot();
  machine.state = createControlState(retention);
  machine.state.restore(bytes, machine.index);
  register();
  t.true(beforeReturn);
  t.true(isWitness('first'));
  t.true(isWitness('second'));
  t.is(machine.state.roster.targets.size, 1);
  t.true(isWitness('between'), 'more witnesses than needed are safe');
});

test('a retired or replaced run cannot register again, and a newer registration does not expire', t => {
  const machine = createMachine();
  const register = (incarnation: string) =>
    apply(machine, {
      method: ControlMethod.RegisterTarget,
      target: makeTarget('w1', incarnation),
    });
  const current = () => machine.state.roster.targets.get('w1');
  register('run-1');
  register('run-2');
  register('run-1');
  t.is(current()?.incarnation, 'run-2');
  const target = { targetId: 'w1', incarnation: 'run-2' };
  applyOperation(machine, {
    kind: OperationKind.ExpireRuns,
    expired: { dispatchers: [], targets: [{ ...target, registeredAt: 1 }] },
  });
  t.is(current()?.incarnation, 'run-2');
  apply(machine, { method: ControlMethod.RetireTarget, target });
  register('run-2');
  t.is(current(), undefined);
});

test('a claim held by an earlier run of a dispatcher has no owner address after the restart', t => {
  const machine = createMachine();
  const address = { address: '127.0.0.1', port: 1 };
  const register = (incarnation: string) =>
    apply(machine, {
      method: ControlMethod.RegisterDispatcher,
      dispatcher: { dispatcherId: 'd1', incarnation, address },
    });
  const ask = (): ClaimOutcome =>
    claim(machine, {
      method: ControlMethod.Claim,
      claim: makeClaim('job-1', 'd2', 's2'),
    });
  register('run-1');
  claim(machine, {
    method: ControlMethod.Claim,
    claim: makeClaim('job-1', 'd1', 's1'),
  });
  const before = ask();
  register('run-2');
  register('run-1');
  const after = ask();
  t.snapshot([before, after]);
});

test('finished claims are dropped after their retention, and later requests for them are refused', t => {
  const machine = createMachine();
  const request = makeClaim('job-1', 'd1', 's1');
  claim(machine, { method: ControlMethod.Claim, claim: request });
  apply(machine, {
    method: ControlMethod.FinishClaims,
    finished: [{ team: 'wards', jobId: 'job-1', epoch: 1 }],
  });
  const again = claim(machine, { method: ControlMethod.Claim, claim: request });
  t.true((again as ClaimGranted).finished);
  machine.time = retention.claims.finishedMilliseconds + 1;
  t.deepEqual(
    claim(machine, {
      method: ControlMethod.Claim,
      claim: { ...request, submittedAt: 0 },
    }),
    { kind: ClaimOutcomeKind.Refused, reason: ClaimRefusal.TooOld },
  );
  t.is(machine.state.claims.finished.size, 0);
});

test('a full table refuses new jobs and still grants the claims that it holds', t => {
  const machine = createMachine();
  machine.state = createControlState({
    ...retention,
    claims: { ...defaultClaimRetention, maximumClaims: 2 },
  });
  const ask = (jobId: string) =>
    claim(machine, {
      method: ControlMethod.Claim,
      claim: makeClaim(jobId, 'd1', 's1'),
    });
  t.deepEqual(
    ['job-1', 'job-2', 'job-3', 'job-1'].map(jobId => ask(jobId).kind),
    [
      ClaimOutcomeKind.Granted,
      ClaimOutcomeKind.Granted,
      ClaimOutcomeKind.Refused,
      ClaimOutcomeKind.Granted,
    ],
  );
});
