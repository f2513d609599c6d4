/** The evacuation state of control, and the rules by which an order changes it. */
import {
  type DataCentreName,
  type EvacuationOrder,
  type EvacuationState,
  type EvacuationVersion,
  isEvacuated,
  type Milliseconds,
  noEvacuations,
} from '@cranberryturn/types';

/** The evacuation state, with the last change of each data centre. */
export interface EvacuationRecord {
  readonly state: EvacuationState;
  /** Version of the last change, for each data centre that has ever changed. */
  readonly lastChanges: ReadonlyMap<DataCentreName, EvacuationVersion>;
}

/** What an order did. */
export enum EvacuationResult {
  Changed = 'changed',
  /** The data centre was already in the ordered state. */
  Unchanged = 'unchanged',
  /** The data centre has changed since the order arrived, so the order was refused. */
  Overtaken = 'overtaken',
}

/** The result of an order, and the record after it. */
export interface AppliedOrder {
  readonly result: EvacuationResult;
  readonly record: EvacuationRecord;
}

/** Form of the record in snapshots. */
export interface EvacuationSnapshot {
  readonly state: EvacuationState;
  readonly lastChanges: readonly (readonly [
    DataCentreName,
    EvacuationVersion,
  ])[];
}

/** The record before the first order. */
export const emptyEvacuationRecord: EvacuationRecord = {
  state: noEvacuations,
  lastChanges: new Map(),
};

/**
 * Applies an order. An order that was delayed in the system takes no effect once another one has
 * changed its data centre: the calls of operators carry no identifier, so its age shows only in the
 * version that was known when it arrived.
 */
export function applyEvacuationOrder(
  record: EvacuationRecord,
  order: EvacuationOrder,
  leaderTime: Milliseconds,
): AppliedOrder {
  const { state, lastChanges } = record;
  const { dataCentre, knownVersion } = order;
  if (isEvacuated(state, dataCentre) === order.isEvacuated) {
    return { result: EvacuationResult.Unchanged, record };
  }
  if ((lastChanges.get(dataCentre) ?? 0) > knownVersion) {
    return { result: EvacuationResult.Overtaken, record };
  }
  const version = state.version + 1;
  const others = state.evacuations.filter(one => one.dataCentre !== dataCentre);
  const evacuations = order.isEvacuated
    ? [...others, { dataCentre, since: leaderTime }]
    : others;
  return {
    result: EvacuationResult.Changed,
    record: {
      state: { version, evacuations },
      lastChanges: new Map([...lastChanges, [dataCentre, version]]),
    },
  };
}

/** Returns the record in the form of a snapshot. */
export function captureEvacuations({
  state,
  lastChanges,
}: EvacuationRecord): EvacuationSnapshot {
  return { state, lastChanges: [...lastChanges] };
}

/** Restores a record; snapshots of versions without evacuations hold none. */
export function restoreEvacuations(
  snapshot: EvacuationSnapshot | undefined,
): EvacuationRecord {
  if (snapshot === undefined) return emptyEvacuationRecord;
  return {
    state: snapshot.state,
    lastChanges: new Map(snapshot.lastChanges),
  };
}
