/** Workers, network and requests of the two existing deployments. */
import type {
  DataCentreName,
  Milliseconds,
  ServiceName,
  TeamName,
} from '@cranberryturn/types';

/** Distribution of the run times of one kind of request. */
export interface RunTimeShape {
  readonly minimumMilliseconds: Milliseconds;
  readonly maximumMilliseconds: Milliseconds;
  /** Fraction of tasks that take several seconds instead. */
  readonly longShare: number;
}

/** One kind of request that callers send. */
export interface RequestShape {
  readonly name: string;
  readonly team: TeamName;
  /** Relative frequency of the request. */
  readonly weight: number;
  readonly idempotent: boolean;
  readonly minimumTasks: number;
  readonly maximumTasks: number;
  readonly runTime: RunTimeShape;
  readonly answerBytes: number;
}

/** Size and workload of one deployment. */
export interface DeploymentShape {
  readonly name: string;
  readonly service: ServiceName;
  readonly dataCentres: readonly DataCentreName[];
  readonly workers: number;
  readonly workersPerRack: number;
  readonly slotsPerWorker: number;
  readonly connectionsPerWorker: number;
  readonly processorsPerWorker: number;
  readonly memoryMebibytesPerWorker: number;
  /** One-way network delay between a caller and a dispatcher. */
  readonly callerDelayMilliseconds: Milliseconds;
  readonly requests: readonly RequestShape[];
}

/** Shortest run time of a task that takes several seconds. */
export const longRunMinimumMilliseconds: Milliseconds = 2_000;
/** Longest run time of a task that takes several seconds. */
export const longRunMaximumMilliseconds: Milliseconds = 4_000;

const memoryMebibytesPerWorker = 131_072;

/** The register of Phố Trống Analytics in Hanoi. */
export const registerShape: DeploymentShape = {
  name: 'register',
  service: 'register-svc',
  dataCentres: ['hoan-kiem', 'dong-da', 'cau-giay'],
  workers: 11,
  workersPerRack: 3,
  slotsPerWorker: 8,
  connectionsPerWorker: 64,
  processorsPerWorker: 64,
  memoryMebibytesPerWorker,
  callerDelayMilliseconds: 1,
  requests: [
    {
      name: 'vacancy lookup',
      team: 'ward-officers',
      weight: 45,
      idempotent: true,
      minimumTasks: 1,
      maximumTasks: 8,
      runTime: createRunTimeShape(50, 400, 0.005),
      answerBytes: 600,
    },
    {
      name: 'lease status check',
      team: 'landlords-agents',
      weight: 35,
      idempotent: true,
      minimumTasks: 1,
      maximumTasks: 2,
      runTime: createRunTimeShape(50, 250, 0),
      answerBytes: 300,
    },
    {
      name: 'lease claim',
      team: 'traders',
      weight: 15,
      idempotent: false,
      minimumTasks: 1,
      maximumTasks: 3,
      runTime: createRunTimeShape(100, 600, 0.005),
      answerBytes: 200,
    },
    {
      name: 'street summary',
      team: 'ward-meetings',
      weight: 5,
      idempotent: true,
      minimumTasks: 12,
      maximumTasks: 20,
      runTime: createRunTimeShape(200, 1_000, 0.01),
      answerBytes: 4_000,
    },
  ],
};

/** The booking service of Patas Atentas in Portugal. */
export const bookingShape: DeploymentShape = {
  name: 'booking',
  service: 'marcacoes',
  dataCentres: ['lisboa-a', 'lisboa-b', 'porto-a', 'porto-b'],
  workers: 11,
  workersPerRack: 3,
  slotsPerWorker: 8,
  connectionsPerWorker: 64,
  processorsPerWorker: 32,
  memoryMebibytesPerWorker,
  callerDelayMilliseconds: 1,
  requests: [
    {
      name: 'free place check',
      team: 'owners',
      weight: 50,
      idempotent: true,
      minimumTasks: 1,
      maximumTasks: 4,
      runTime: createRunTimeShape(50, 300, 0),
      answerBytes: 300,
    },
    {
      name: 'seat hold',
      team: 'owners',
      weight: 25,
      idempotent: false,
      minimumTasks: 1,
      maximumTasks: 2,
      runTime: createRunTimeShape(80, 500, 0.005),
      answerBytes: 200,
    },
    {
      name: 'enrolment confirmation',
      team: 'owners',
      weight: 15,
      idempotent: false,
      minimumTasks: 1,
      maximumTasks: 3,
      runTime: createRunTimeShape(100, 1_000, 0.01),
      answerBytes: 200,
    },
    {
      name: 'roster confirmation',
      team: 'trainers',
      weight: 10,
      idempotent: true,
      minimumTasks: 8,
      maximumTasks: 20,
      runTime: createRunTimeShape(100, 800, 0.005),
      answerBytes: 1_000,
    },
  ],
};

/** All deployments that the bench measures. */
export const deploymentShapes: readonly DeploymentShape[] = [
  registerShape,
  bookingShape,
];

/** Counts the slots of all workers. */
export function countSlots(shape: DeploymentShape): number {
  return shape.workers * shape.slotsPerWorker;
}

/** Computes the mean slot time that one request uses, summed over its tasks. */
export function computeMeanWorkMilliseconds(
  shape: DeploymentShape,
): Milliseconds {
  const weights = shape.requests.reduce((sum, one) => sum + one.weight, 0);
  const work = shape.requests.reduce(
    (sum, one) => sum + one.weight * computeMeanRequestWork(one),
    0,
  );
  return work / weights;
}

function computeMeanRequestWork(request: RequestShape): Milliseconds {
  const { minimumMilliseconds, maximumMilliseconds, longShare } =
    request.runTime;
  const usual = (minimumMilliseconds + maximumMilliseconds) / 2;
  const long = (longRunMinimumMilliseconds + longRunMaximumMilliseconds) / 2;
  const tasks = (request.minimumTasks + request.maximumTasks) / 2;
  return tasks * (usual * (1 - longShare) + long * longShare);
}

function createRunTimeShape(
  minimumMilliseconds: Milliseconds,
  maximumMilliseconds: Milliseconds,
  longShare: number,
): RunTimeShape {
  return { minimumMilliseconds, maximumMilliseconds, longShare };
}
