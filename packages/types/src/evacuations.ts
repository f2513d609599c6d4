/** Evacuations: data centres in which operators have ordered that no task starts. */
import type { DataCentreName, LogIndex, Milliseconds } from './identifiers.js';

/** Version of the evacuation state, raised by one with each change; 0 before the first. */
export type EvacuationVersion = number;

/** One evacuated data centre. */
export interface Evacuation {
  readonly dataCentre: DataCentreName;
  /** Time of the order, by the clock of the leader that accepted it. */
  readonly since: Milliseconds;
}

/** The data centres that are evacuated now. */
export interface EvacuationState {
  readonly version: EvacuationVersion;
  readonly evacuations: readonly Evacuation[];
}

/** Stands for the state before the first order. */
export const noEvacuations: EvacuationState = { version: 0, evacuations: [] };

/** An order of an operator to evacuate a data centre, or to withdraw its evacuation. */
export interface EvacuationOrder {
  readonly dataCentre: DataCentreName;
  /** False withdraws the evacuation. */
  readonly isEvacuated: boolean;
  /**
   * Index of the last entry that the replica had applied when the order arrived there. An order was
   * overtaken when a later entry acknowledged the opposite order, and is then refused. The version of
   * the state would not do: an order that changes nothing is acknowledged without a new version.
   */
  readonly knownIndex: LogIndex;
}

/** Whether the data centre is evacuated. */
export function isEvacuated(
  { evacuations }: EvacuationState,
  dataCentre: DataCentreName,
): boolean {
  return evacuations.some(one => one.dataCentre === dataCentre);
}
