/** Messages between dispatchers about the capacity of workers that one of them coordinates. */
import type {
  CapacityGrant,
  CapacityRequest,
  CoordinatedCapacity,
  Milliseconds,
} from '@cranberryturn/types';

/** Kinds of message to a coordinator. */
export enum ToCoordinatorKind {
  Request = 'request',
  /** Gives up requests. */
  Withdraw = 'withdraw',
  /** Gives back grants that are not used. */
  ReturnGrants = 'return',
}

/** A message to a coordinator. */
export type ToCoordinatorMessage =
  | {
      readonly kind: ToCoordinatorKind.Request;
      readonly request: CapacityRequest;
    }
  | {
      readonly kind: ToCoordinatorKind.Withdraw;
      readonly requests: readonly number[];
    }
  | {
      readonly kind: ToCoordinatorKind.ReturnGrants;
      readonly grants: readonly number[];
    };

/** Kinds of message from a coordinator. */
export enum FromCoordinatorKind {
  /** Grants capacity, or acknowledges that a request waits. */
  Grants = 'grants',
  /** Refuses a request whose expected wait is too long. Nothing was granted for it. */
  Refusal = 'refusal',
  /** Gives a request back, as no worker of the coordinator can serve it now. */
  Returned = 'returned',
  /** Gives up a request whose job would end too late to be of use. Nothing was granted for it. */
  Expired = 'expired',
  /** Shows that the coordinator is alive while requests wait. */
  Standing = 'standing',
}

/** Fields of every message from a coordinator. */
export interface FromCoordinatorHeader {
  readonly capacity: CoordinatedCapacity;
}

/** Body of a message from a coordinator. */
export type FromCoordinatorBody =
  | {
      readonly kind: FromCoordinatorKind.Grants;
      readonly request: number;
      readonly grants: readonly CapacityGrant[];
    }
  | {
      readonly kind: FromCoordinatorKind.Returned | FromCoordinatorKind.Expired;
      readonly request: number;
    }
  | {
      readonly kind: FromCoordinatorKind.Refusal;
      readonly request: number;
      readonly waitMilliseconds: Milliseconds;
    }
  | {
      readonly kind: FromCoordinatorKind.Standing;
      /** The requests of the dispatcher that wait. */
      readonly requests: readonly number[];
    };

/** A message from a coordinator. */
export type FromCoordinatorMessage = FromCoordinatorHeader &
  FromCoordinatorBody;
