import test from 'ava';

import {
  decideDeparture,
  DepartureStep,
  type DepartureState,
} from './decide-departure.js';
import { SessionPhase } from './session-phase.js';

const superfluous: DepartureState = {
  phase: SessionPhase.Open,
  hasSession: true,
  isConnected: true,
  isSuperfluous: true,
  chosen: 12,
  connectedChosen: 12,
  sinceChoiceMilliseconds: 0,
  sinceStepMilliseconds: 0,
  hasWork: false,
};

const cases: readonly [string, Partial<DepartureState>, DepartureStep][] = [
  ['a chosen dispatcher', { isSuperfluous: false }, DepartureStep.Keep],
  ['all chosen are connected', {}, DepartureStep.RefuseRuns],
  ['one chosen is missing', { connectedChosen: 11 }, DepartureStep.Keep],
  [
    'one chosen is missing for long',
    { connectedChosen: 11, sinceChoiceMilliseconds: 10_000 },
    DepartureStep.RefuseRuns,
  ],
  [
    'no chosen is connected',
    { connectedChosen: 0, sinceChoiceMilliseconds: 60_000 },
    DepartureStep.Keep,
  ],
  ['a session that is cut', { isConnected: false }, DepartureStep.Keep],
  [
    'a dispatcher that never answered',
    { isConnected: false, hasSession: false },
    DepartureStep.Close,
  ],
  [
    'leaving with orders in transit',
    { phase: SessionPhase.Leaving, sinceStepMilliseconds: 999 },
    DepartureStep.Keep,
  ],
  [
    'leaving with work',
    {
      phase: SessionPhase.Leaving,
      sinceStepMilliseconds: 9_000,
      hasWork: true,
    },
    DepartureStep.Keep,
  ],
  [
    'leaving without work',
    { phase: SessionPhase.Leaving, sinceStepMilliseconds: 1_000 },
    DepartureStep.TakeLeave,
  ],
  [
    'chosen again while leaving',
    { phase: SessionPhase.Leaving, isSuperfluous: false },
    DepartureStep.Stay,
  ],
  [
    'the farewell is in transit',
    { phase: SessionPhase.Left, sinceStepMilliseconds: 500 },
    DepartureStep.Keep,
  ],
  [
    'the farewell has arrived',
    { phase: SessionPhase.Left, sinceStepMilliseconds: 1_000 },
    DepartureStep.Close,
  ],
];

for (const [title, state, expected] of cases) {
  test(`departure of a dispatcher: ${title}`, t => {
    t.is(decideDeparture({ ...superfluous, ...state }), expected);
  });
}
