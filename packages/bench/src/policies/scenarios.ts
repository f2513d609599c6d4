/** Scenarios of load and faults in which policies are compared. */
import type { Milliseconds } from '@cranberryturn/types';

import {
  bookingShape,
  type DeploymentShape,
  registerShape,
} from '../load/deployment-shape.js';
import { TargetBehaviour } from './target-behaviour.js';

/** Whether jobs declare the run times of their tasks. */
export enum Declarations {
  None = 'none',
  Accurate = 'right',
  /** A third is wrong by a factor of ten, half of these too high and half too low. */
  OftenWrong = 'often-wrong',
}

/** One load and its faults. */
export interface Scenario {
  readonly name: string;
  readonly workers: number;
  readonly slots: number;
  readonly dispatchers: number;
  readonly dataCentres: number;
  /** One-way latency between hosts of one data centre. */
  readonly nearMilliseconds: Milliseconds;
  /** One-way latency between data centres. */
  readonly farMilliseconds: Milliseconds;
  /** Share of all slots that the load keeps busy. */
  readonly load: number;
  readonly tasksPerJob: number;
  /** Shape of the requests; undefined for jobs of equal shape. */
  readonly requests: DeploymentShape | undefined;
  readonly declarations: Declarations;
  /** Whether tasks use several processors but declare ten times too many or too few, and the platform reports usage. */
  readonly hasMisdeclaredSizes: boolean;
  /** Whether tasks may run more than once. */
  readonly idempotent: boolean;
  readonly durationMilliseconds: Milliseconds;
  /** Multiplies the arrival rate during the burst; 1 for none. */
  readonly burstFactor: number;
  /** Behaviour of the first worker; the others are healthy. */
  readonly firstWorker: TargetBehaviour;
  /** Number of workers that die after a third of the duration. */
  readonly workerDeaths: number;
  /** Number of dispatchers that die at the same time; callers switch to a remaining one. */
  readonly dispatcherDeaths: number;
  /** Whether callers cancel all unfinished jobs at the end of the burst. */
  readonly hasCancellations: boolean;
}

/** The base of all scenarios: no fault, no burst, single-task jobs. */
const calmScenario: Scenario = {
  name: 'calm',
  workers: 11,
  slots: 8,
  dispatchers: 3,
  dataCentres: 3,
  nearMilliseconds: 0.2,
  farMilliseconds: 1.4,
  load: 0.7,
  tasksPerJob: 1,
  requests: undefined,
  declarations: Declarations.None,
  hasMisdeclaredSizes: false,
  idempotent: false,
  durationMilliseconds: 60_000,
  burstFactor: 1,
  firstWorker: TargetBehaviour.Healthy,
  workerDeaths: 0,
  dispatcherDeaths: 0,
  hasCancellations: false,
};

/** All scenarios. They have the shape of the customer Phố Trống, "booking requests" that of Patas Atentas. */
export const scenarios: readonly Scenario[] = [
  calmScenario,
  {
    ...calmScenario,
    name: 'calm, four data centres',
    dataCentres: 4,
    dispatchers: 4,
    farMilliseconds: 0.5,
  },
  { ...calmScenario, name: 'jobs of 20', tasksPerJob: 20 },
  {
    ...calmScenario,
    name: 'jobs of 20, declared',
    tasksPerJob: 20,
    declarations: Declarations.Accurate,
  },
  {
    ...calmScenario,
    name: 'register requests',
    requests: registerShape,
    declarations: Declarations.Accurate,
  },
  {
    ...calmScenario,
    name: 'register requests, misdeclared',
    requests: registerShape,
    declarations: Declarations.OftenWrong,
  },
  {
    ...calmScenario,
    name: 'booking requests',
    dataCentres: 4,
    dispatchers: 4,
    farMilliseconds: 0.5,
    requests: bookingShape,
    declarations: Declarations.Accurate,
  },
  {
    ...calmScenario,
    name: 'one fails everything',
    firstWorker: TargetBehaviour.FailsAtOnce,
  },
  {
    ...calmScenario,
    name: 'one fails everything, idempotent',
    firstWorker: TargetBehaviour.FailsAtOnce,
    idempotent: true,
  },
  { ...calmScenario, name: 'one flaps', firstWorker: TargetBehaviour.Flaps },
  {
    ...calmScenario,
    name: 'one ten times slow',
    firstWorker: TargetBehaviour.Slow,
  },
  {
    ...calmScenario,
    name: 'one ten times slow, idempotent',
    firstWorker: TargetBehaviour.Slow,
    idempotent: true,
  },
  { ...calmScenario, name: 'one dies', workerDeaths: 1 },
  {
    ...calmScenario,
    name: 'half die, idempotent',
    workerDeaths: 5,
    idempotent: true,
  },
  { ...calmScenario, name: 'burst of 10x', burstFactor: 10 },
  { ...calmScenario, name: 'misdeclared sizes', hasMisdeclaredSizes: true },
  { ...calmScenario, name: 'a whole rack dies', workerDeaths: 3 },
  { ...calmScenario, name: 'two dispatchers die', dispatcherDeaths: 2 },
  {
    ...calmScenario,
    name: 'one fails everything, burst',
    firstWorker: TargetBehaviour.FailsAtOnce,
    burstFactor: 10,
  },
  {
    ...calmScenario,
    name: 'jobs of 20, burst cancelled',
    tasksPerJob: 20,
    burstFactor: 10,
    hasCancellations: true,
  },
];
