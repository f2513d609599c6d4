/** Messages between the bench and the processes that it measures. */
import type { NetworkAddress } from '@cranberryturn/types';

import type { ProcessReading } from './reading.js';

/** The two sides of a scenario. */
export enum SideName {
  Measured = 'measured',
  Counterpart = 'counterpart',
}

/** Orders to a side. */
export enum SideOrder {
  Start = 'start',
  Ready = 'ready',
  Read = 'read',
  Work = 'work',
}

/** An order to a side. Each is answered by one reply. */
export interface SideRequest {
  readonly order: SideOrder;
  readonly scenario: string;
  readonly side: SideName;
  readonly size: number;
  readonly seed: number;
  readonly peers: readonly NetworkAddress[];
}

/** The reply of a side. */
export interface SideReply {
  readonly error?: string | undefined;
  readonly addresses?: readonly NetworkAddress[] | undefined;
  readonly reading?: ProcessReading | undefined;
  readonly units?: number | undefined;
}
