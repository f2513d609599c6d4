/** The evacuation state of control, and the rules by which an order changes it. */
import type { CommittedEntry } from '@cranberryturn/replicated-log';
import {
  type DataCentreName,
  type EvacuationOrder,
  type EvacuationState,
  isEvacuated,
  type LogIndex,
  noEvacuations,
} from '@cranberryturn/types';

/** The evacuation state, with the last acknowledged order for each data centre. */
export interface EvacuationRecord {
  readonly state: EvacuationState;
  /** Index of the entry with the last acknowledged order, for each data centre ever named. */
  readonly lastOrders: ReadonlyMap<DataCentreName, LogIndex>;
}

/** What an order did. */
export enum EvacuationResult {
  Changed = 'changed',
  /** The data centre was already in the ordered state. */
  Unchanged = 'unchanged',
  /** The opposite was acknowledged since the order arrived, so the order was refused. */
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
  readonly lastOrders: readonly (readonly [DataCentreName, LogIndex])[];
}

/** The record before the first order. */
export const emptyEvacuationRecord: EvacuationRecord = {
  state: noEvacuations,
  lastOrders: new Map(),
};

/**
 * Applies an order. An order that was delayed in the system takes no effect once the opposite was
 * acknowledged: the calls of operators carry no identifier, so its age shows only in the index that
 * was known when it arrived.
 */
export function applyEvacuationOrder(
  { state, lastOrders }: EvacuationRecord,
  order: EvacuationOrder,
  { index, leaderTime }: Pick<CommittedEntry, 'index' | 'leaderTime'>,
): AppliedOrder {
  const { dataCentre } = order;
  const acknowledged = new Map([...lastOrders, [dataCentre, index]]);
  if (isEvacuated(state, dataCentre) === order.isEvacuated) {
    const record = { state, lastOrders: acknowledged };
    return { result: EvacuationResult.Unchanged, record };
  }
  // Every order acknowledged since the last change of this data centre was the opposite one.
  if ((lastOrders.get(dataCentre) ?? 0) > order.knownIndex) {
    const record = { state, lastOrders };
    return { result: EvacuationResult.Overtaken, record };
  }
  const others = state.evacuations.filter(one => one.dataCentre !== dataCentre);
  const evacuations = order.isEvacuated
    ? [...others, { dataCentre, since: leaderTime }]
    : others;
  return {
    result: EvacuationResult.Changed,
    record: {
      state: { version: state.version + 1, evacuations },
      lastOrders: acknowledged,
    },
  };
}

/** Returns the record in the form of a snapshot. */
export function captureEvacuations({
  state,
  lastOrders,
}: EvacuationRecord): EvacuationSnapshot {
  return { state, lastOrders: [...lastOrders] };
}

/** Restores a record; snapshots of versions without evacuations hold none. */
export function restoreEvacuations(
  snapshot: EvacuationSnapshot | undefined,
): EvacuationRecord {
  if (snapshot === undefined) return emptyEvacuationRecord;
  return {
    state: snapshot.state,
    lastOrders: new Map(snapshot.lastOrders),
  };
}
