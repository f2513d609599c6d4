/** The operations in the log of control, their outcomes and their encoding. */
import type {
  ConfirmOutcome,
  ConfirmRequest,
} from '@cranberryturn/configuration';
import type { ExpiredRuns } from '@cranberryturn/membership';
import type {
  ClaimOutcome,
  ClusterConfiguration,
  EvacuationOrder,
  EvacuationState,
  LogIndex,
  Publication,
} from '@cranberryturn/types';
import type { ControlCall, ControlMethod } from '@cranberryturn/wire';
import { Packr } from 'msgpackr';

import type { EvacuationResult } from './evacuations.js';

/** The kinds of operation; the values are stored in the log. */
export enum OperationKind {
  /** A dispatcher call that changes the state. */
  Call = 'call',
  /** The confirm of a plan by an operator. */
  Confirm = 'confirm',
  /** The initial configuration, proposed by the leader of a new log. */
  Initialize = 'initialize',
  /** The removal of silent runs from the roster, proposed by the leader. */
  ExpireRuns = 'expire-runs',
  /** A whole configuration document, published by an operator. */
  Publish = 'publish',
  /** The order of an operator to evacuate a data centre, or to withdraw its evacuation. */
  Evacuate = 'evacuate',
}

/** A dispatcher call that changes the state. */
export type ControlWrite = Exclude<
  ControlCall,
  { readonly method: ControlMethod.Watch }
>;

/** One operation of a log entry. */
export type ControlOperation =
  | { readonly kind: OperationKind.Call; readonly call: ControlWrite }
  | { readonly kind: OperationKind.Confirm; readonly request: ConfirmRequest }
  | {
      readonly kind: OperationKind.Initialize;
      readonly configuration: Omit<ClusterConfiguration, 'version'>;
    }
  | { readonly kind: OperationKind.ExpireRuns; readonly expired: ExpiredRuns }
  | {
      readonly kind: OperationKind.Publish;
      readonly publication: Publication;
    }
  | {
      readonly kind: OperationKind.Evacuate;
      readonly order: EvacuationOrder;
      /** Identifies the call of the operator in log lines. */
      readonly requestId: string;
    };

/** The kinds of outcome. */
export enum OperationOutcomeKind {
  Claim = 'claim',
  Done = 'done',
  Confirm = 'confirm',
  Evacuation = 'evacuation',
}

/** The outcome of one operation. */
export type OperationOutcome =
  | {
      readonly kind: OperationOutcomeKind.Claim;
      readonly outcome: ClaimOutcome;
    }
  | { readonly kind: OperationOutcomeKind.Done; readonly index: LogIndex }
  | {
      readonly kind: OperationOutcomeKind.Confirm;
      readonly outcome: ConfirmOutcome;
    }
  | ({ readonly kind: OperationOutcomeKind.Evacuation } & EvacuationOutcome);

/** What an evacuation order did, and the state after it. */
export interface EvacuationOutcome {
  readonly result: EvacuationResult;
  readonly order: EvacuationOrder;
  readonly requestId: string;
  readonly state: EvacuationState;
}

const packer = new Packr({ useRecords: true, variableMapSize: true });

/** Encodes the operations of one log entry as MessagePack. */
export function encodeOperations(
  operations: readonly ControlOperation[],
): Uint8Array {
  return packer.pack(operations);
}

/** Decodes the operations of a log entry whose checksum the log has verified. */
export function decodeOperations(
  command: Uint8Array,
): readonly ControlOperation[] {
  return packer.unpack(command) as readonly ControlOperation[];
}
