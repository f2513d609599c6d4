/** The interface of a measurement: a measured process and, if needed, a counterpart that loads it. */
import type { NetworkAddress } from '@cranberryturn/types';

import type { TrafficCount, WorkUnit } from './reading.js';

/** Input of one side of a measurement. */
export interface ScenarioInput {
  readonly size: number;
  readonly seed: number;
  /** Listening addresses of the side that started first; empty for that side itself. */
  readonly peers: readonly NetworkAddress[];
}

/** One side of a measurement after its start: the measured process or its counterpart. */
export interface ScenarioSide {
  /** Addresses on which this side listens for the other one. */
  readonly addresses: readonly NetworkAddress[];
  /** Resolves once the state of this size is reached and the measurement may start. */
  ready(): Promise<void>;
  /** Does the measured work and resolves with the number of units done. */
  work(): Promise<number>;
  traffic(): TrafficCount;
}

/** Starts one side in the current process. */
export type StartSide = (input: ScenarioInput) => Promise<ScenarioSide>;

/** The side that starts first; the other one dials its addresses. */
export enum FirstSide {
  Measured = 'measured',
  Counterpart = 'counterpart',
}

/** A measurement at several sizes. */
export interface Scenario {
  readonly name: string;
  readonly role: string;
  readonly dimension: string;
  /** Describes the measurement in result files and reports. */
  readonly description: string;
  readonly sizes: readonly number[];
  readonly unit: WorkUnit;
  readonly first: FirstSide;
  /** Imports the module of the side on demand, so that the measured memory holds no code of other sides. */
  readonly loadMeasured: () => Promise<StartSide>;
  readonly loadCounterpart?: (() => Promise<StartSide>) | undefined;
}

/** Traffic of a side that sends nothing. */
export const noTraffic: TrafficCount = { messages: 0, bytes: 0 };
