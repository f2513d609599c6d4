/** The operations that control writes to its log, and what each of them did. */
import type {
  ConfirmOutcome,
  ConfirmRequest,
} from '@cranberryturn/configuration';
import type { ExpiredRuns } from '@cranberryturn/membership';
import type {
  ClaimOutcome,
  ClusterConfiguration,
  LogIndex,
  Publication,
} from '@cranberryturn/types';
import type { ControlCall, ControlMethod } from '@cranberryturn/wire';
import { Packr } from 'msgpackr';

/** The kinds of operation. */
export enum OperationKind {
  /** A call of a dispatcher that changes the state. */
  Call = 'call',
  /** An operator confirms a plan. */
  Confirm = 'confirm',
  /** The first leader sets the first configuration. */
  Initialize = 'initialize',
  /** The leader takes silent runs off the roster. */
  ExpireRuns = 'expire-runs',
  /** An operator publishes a whole configuration. */
  Publish = 'publish',
}

/** A call of a dispatcher that changes the state. */
export type ControlWrite = Exclude<
  ControlCall,
  { readonly method: ControlMethod.Watch }
>;

/** One operation of the log. */
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
    };

/** The kinds of outcome. */
export enum OperationOutcomeKind {
  Claim = 'claim',
  Done = 'done',
  Confirm = 'confirm',
}

/** What one operation did. */
export type OperationOutcome =
  | {
      readonly kind: OperationOutcomeKind.Claim;
      readonly outcome: ClaimOutcome;
    }
  | { readonly kind: OperationOutcomeKind.Done; readonly index: LogIndex }
  | {
      readonly kind: OperationOutcomeKind.Confirm;
      readonly outcome: ConfirmOutcome;
    };

const packer = new Packr({ useRecords: true, variableMapSize: true });

/** Encodes the operations of one log entry. */
export function encodeOperations(
  operations: readonly ControlOperation[],
): Uint8Array {
  return packer.pack(operations);
}

/** Decodes a log entry; the log has checked its checksum. */
export function decodeOperations(
  command: Uint8Array,
): readonly ControlOperation[] {
  return packer.unpack(command) as readonly ControlOperation[];
}
