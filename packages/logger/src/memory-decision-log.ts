/** In-memory decision log, for tests. */
import type { TimerService } from '@cranberryturn/timers';
import type { DecisionKind, DecisionRecord } from '@cranberryturn/types';

import { type DecisionLog, createDecisionRecord } from './decision-log.js';

/** Type of the records of one kind. */
export type RecordOf<Kind extends DecisionKind> = Extract<
  DecisionRecord,
  { readonly kind: Kind }
>;

/** Decision log whose records can be read back. */
export interface MemoryDecisionLog extends DecisionLog {
  readonly records: readonly DecisionRecord[];
  /** Records of one kind, oldest first. */
  ofKind<Kind extends DecisionKind>(kind: Kind): readonly RecordOf<Kind>[];
}

/** Creates an empty in-memory decision log; closing it has no effect. */
export function createMemoryDecisionLog(options: {
  readonly process: string;
  readonly timers: TimerService;
}): MemoryDecisionLog {
  const records: DecisionRecord[] = [];
  return {
    records,
    record: (decision, requestId) => {
      records.push(createDecisionRecord(options, decision, requestId));
    },
    ofKind: <Kind extends DecisionKind>(kind: Kind) =>
      records.filter(
        (record): record is RecordOf<Kind> => record.kind === kind,
      ),
    close: () => Promise.resolve(),
  };
}
