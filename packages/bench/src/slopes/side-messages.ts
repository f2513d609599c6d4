/** Messages between the bench and the two processes of a measurement, sent over the IPC channel of `fork`. */
import type { NetworkAddress } from '@cranberryturn/types';

import type { ProcessReading } from './reading.js';

/** The two sides of a measurement. */
export enum SideName {
  Measured = 'measured',
  Counterpart = 'counterpart',
}

/** Steps of a measurement that a side is asked for. */
export enum SideOrder {
  Start = 'start',
  Ready = 'ready',
  Read = 'read',
  Work = 'work',
}

/** A request to a side, answered by exactly one reply. */
export interface SideRequest {
  readonly order: SideOrder;
  readonly scenario: string;
  readonly side: SideName;
  readonly size: number;
  readonly seed: number;
  readonly peers: readonly NetworkAddress[];
}

/** Reply to a request; `error` is set if the step failed. */
export interface SideReply {
  readonly error?: string | undefined;
  readonly addresses?: readonly NetworkAddress[] | undefined;
  readonly reading?: ProcessReading | undefined;
  readonly units?: number | undefined;
}
