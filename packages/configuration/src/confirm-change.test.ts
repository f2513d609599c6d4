import { type ConfigurationChange, IntentKind } from '@cranberryturn/types';
import test from 'ava';
import fc from 'fast-check';

import {
  applyConfigurationChanges,
  applyConfirmation,
  applyInitialConfiguration,
  assembleChangePlan,
  captureConfigurationState,
  type ConfigurationState,
  type ConfirmOutcome,
  ConfirmOutcomeKind,
  createConfigurationState,
  listChangesSince,
  restoreConfigurationState,
} from './index.js';

const seed = 20_261_203;
const runs = 500;

enum StepKind {
  Plan = 'plan',
  Confirm = 'confirm',
  Snapshot = 'snapshot',
}

interface Step {
  readonly kind: StepKind;
  /** Selects the team of a plan, or the plan of a confirmation. */
  readonly choice: number;
  /** Selects the request identifier of a confirmation; equal ones are retries. */
  readonly request: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(...Object.values(StepKind)),
  choice: fc.nat(9),
  request: fc.nat(30),
});

interface Model {
  state: ConfigurationState;
  readonly plans: string[];
  readonly firstOutcomes: Map<
    string,
    { planId: string; outcome: ConfirmOutcome }
  >;
  readonly winners: Map<number, string>;
}

function applyStep(model: Model, step: Step, time: number): void {
  const { state, plans } = model;
  switch (step.kind) {
    case StepKind.Plan: {
      const team = { team: `team-${String(step.choice)}`, weight: time + 1 };
      const plan = assembleChangePlan(state.configuration, {
        kind: IntentKind.SetQuota,
        team,
      });
      plans.push(plan._unsafeUnwrap().planId);
      return;
    }
    case StepKind.Confirm:
      confirmAndCheck(model, step, time);
      return;
    case StepKind.Snapshot:
      model.state = restoreConfigurationState(
        structuredClone(captureConfigurationState(state)),
      );
  }
}

function confirmAndCheck(model: Model, step: Step, time: number): void {
  const { state, plans, firstOutcomes, winners } = model;
  const planId = plans[step.choice % Math.max(1, plans.length)];
  if (planId === undefined) return;
  const requestId = `request-${String(step.request)}`;
  const before = state.configuration.version;
  const request = { planId, requestId, operator: 'linh' };
  const outcome = applyConfirmation(state, request, time);
  const first = firstOutcomes.get(requestId);
  if (first?.planId === planId) {
    if (JSON.stringify(outcome) !== JSON.stringify(first.outcome)) {
      throw new Error('a retry got another outcome');
    }
  }
  if (first !== undefined && state.configuration.version !== before) {
    throw new Error('a used request identifier changed the configuration');
  }
  if (first !== undefined) return;
  firstOutcomes.set(requestId, { planId, outcome });
  if (outcome.kind !== ConfirmOutcomeKind.Accepted) {
    if (state.configuration.version !== before)
      throw new Error(
        'a confirmation that was not accepted changed the version',
      );
    return;
  }
  if (winners.has(before))
    throw new Error('two changes accepted on one base version');
  winners.set(before, planId);
  if (state.configuration.version !== before + 1)
    throw new Error('an accepted change skipped a version');
}

test(`each base version accepts one change in any order of plans, confirmations, retries and snapshots (seed ${String(seed)})`, t => {
  const property = fc.property(
    fc.array(stepArbitrary, { maxLength: 60 }),
    steps => {
      const model: Model = {
        state: createConfigurationState(),
        plans: [],
        firstOutcomes: new Map(),
        winners: new Map(),
      };
      for (const [time, step] of steps.entries()) applyStep(model, step, time);
      const changes = listChangesSince(model.state, 0) ?? [];
      const replayed = applyConfigurationChanges(
        createConfigurationState().configuration,
        changes,
      );
      return (
        JSON.stringify(replayed) === JSON.stringify(model.state.configuration)
      );
    },
  );
  t.notThrows(() => {
    fc.assert(property, { seed, numRuns: runs });
  });
});

test('a conflict names the accepted change, and an altered plan identifier is rejected', t => {
  const state = createConfigurationState();
  applyInitialConfiguration(state, { ...state.configuration });
  const [left, right] = ['left', 'right'].map(team =>
    assembleChangePlan(state.configuration, {
      kind: IntentKind.SetQuota,
      team: { team, weight: 1 },
    })._unsafeUnwrap(),
  );
  const first = applyConfirmation(
    state,
    { planId: left?.planId ?? '', requestId: 'request-1', operator: 'linh' },
    1,
  );
  const second = applyConfirmation(
    state,
    { planId: right?.planId ?? '', requestId: 'request-2', operator: 'ana' },
    2,
  );
  const altered = (right?.planId ?? '').replace(/^v1~/, 'v2~');
  const third = applyConfirmation(
    state,
    { planId: altered, requestId: 'request-3', operator: 'ana' },
    3,
  );
  t.snapshot([first, second, third]);
});

test('a follower refuses changes with a version gap', t => {
  const { configuration } = createConfigurationState();
  const late: ConfigurationChange = {
    version: 2,
    intent: { kind: IntentKind.SetQuota, team: { team: 'wards', weight: 1 } },
    operator: 'linh',
    at: 0,
  };
  t.is(applyConfigurationChanges(configuration, [late]), undefined);
});
