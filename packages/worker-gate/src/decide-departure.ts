/**
 * Decides how a sidecar leaves the session with a dispatcher that it did not choose. No run may be lost
 * or run twice: the dispatcher first stops placing runs, then those that it has placed end, and only
 * then it is told that the worker is gone for it.
 */
import type { Milliseconds } from '@cranberryturn/types';

import { SessionPhase } from './session-phase.js';

/** A chosen dispatcher that does not answer for this long is no longer waited for. */
const choiceWaitMilliseconds: Milliseconds = 10_000;
/** Time for orders in transit to arrive after the dispatcher was asked to place no further runs. */
const transitMilliseconds: Milliseconds = 1_000;
/** Time for the last message to arrive. */
const farewellMilliseconds: Milliseconds = 1_000;

/** Next step of a departure. */
export enum DepartureStep {
  /** Nothing changes. */
  Keep = 'keep',
  /** The dispatcher was chosen again before the departure was announced. */
  Stay = 'stay',
  RefuseRuns = 'refuse-runs',
  TakeLeave = 'take-leave',
  Close = 'close',
}

/** The session and the sessions that replace it. */
export interface DepartureState {
  readonly phase: SessionPhase;
  /** Whether the dispatcher was ever connected. */
  readonly hasSession: boolean;
  readonly isConnected: boolean;
  /** Whether the dispatcher is known and was not chosen. */
  readonly isSuperfluous: boolean;
  /** Number of chosen dispatchers. */
  readonly chosen: number;
  /** Number of chosen dispatchers with a live connection. */
  readonly connectedChosen: number;
  readonly sinceChoiceMilliseconds: Milliseconds;
  /** Time since the current phase began. */
  readonly sinceStepMilliseconds: Milliseconds;
  /** Whether a run of the dispatcher is queued or active at the worker. */
  readonly hasWork: boolean;
}

/** Returns the next step of the departure from one dispatcher. */
export function decideDeparture(state: DepartureState): DepartureStep {
  switch (state.phase) {
    case SessionPhase.Open:
      if (!state.isSuperfluous || !isReplaced(state)) return DepartureStep.Keep;
      if (!state.hasSession) return DepartureStep.Close;
      // A dispatcher that never hears of the departure would keep the session.
      return state.isConnected ? DepartureStep.RefuseRuns : DepartureStep.Keep;
    case SessionPhase.Leaving:
      if (!state.isSuperfluous) return DepartureStep.Stay;
      if (state.hasWork) return DepartureStep.Keep;
      return state.sinceStepMilliseconds >= transitMilliseconds
        ? DepartureStep.TakeLeave
        : DepartureStep.Keep;
    case SessionPhase.Left:
      return state.sinceStepMilliseconds >= farewellMilliseconds
        ? DepartureStep.Close
        : DepartureStep.Keep;
  }
}

/** Whether enough of the chosen dispatchers are connected to do without the others. */
function isReplaced({
  chosen,
  connectedChosen,
  sinceChoiceMilliseconds,
}: DepartureState): boolean {
  if (connectedChosen === 0) return false;
  return (
    connectedChosen >= chosen ||
    sinceChoiceMilliseconds >= choiceWaitMilliseconds
  );
}
