/** One measurement: a process under measure and, where it needs one, the process that loads it. */
import type { NetworkAddress } from '@cranberryturn/types';

import type { TrafficCount, WorkUnit } from './reading.js';

/** The size of one measurement. */
export interface ScenarioInput {
  readonly size: number;
  readonly seed: number;
  /** Addresses on which the side that started first listens. */
  readonly peers: readonly NetworkAddress[];
}

/** The process under measure, or its counterpart, once it runs. */
export interface ScenarioSide {
  /** Where the other side finds this one. */
  readonly addresses: readonly NetworkAddress[];
  /** Resolves once the state of this size stands. */
  ready(): Promise<void>;
  /** Does the work that is measured and returns the number of units done. */
  work(): Promise<number>;
  traffic(): TrafficCount;
}

/** Starts one side. */
export type StartSide = (input: ScenarioInput) => Promise<ScenarioSide>;

/** Which side starts first and tells its address to the other. */
export enum FirstSide {
  Measured = 'measured',
  Counterpart = 'counterpart',
}

/** One measurement over several sizes. */
export interface Scenario {
  readonly name: string;
  readonly role: string;
  readonly dimension: string;
  /** What is measured, in a sentence. */
  readonly description: string;
  readonly sizes: readonly number[];
  readonly unit: WorkUnit;
  readonly first: FirstSide;
  /** Loads only the code that the side needs, so that its memory is its own. */
  readonly loadMeasured: () => Promise<StartSide>;
  readonly loadCounterpart?: (() => Promise<StartSide>) | undefined;
}

/** Traffic of a side that sends nothing. */
export const noTraffic: TrafficCount = { messages: 0, bytes: 0 };
