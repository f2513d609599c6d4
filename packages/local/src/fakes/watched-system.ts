/** Starts local systems whose decisions tests can watch, and submits jobs to them. */
import {
  createRoleEnvironment,
  type RoleEnvironment,
} from '@cranberryturn/program';
import { localSettingsSchema } from '@cranberryturn/settings';
import { createSystemTimerService } from '@cranberryturn/timers';
import type { DecisionSink, NetworkAddress } from '@cranberryturn/types';
import anyTest, { type TestFn } from 'ava';
import { request } from 'undici';

import {
  type CreateEnvironment,
  type LocalSystem,
  startLocalSystem,
} from '../start-local-system.js';
import { closeRawCallers } from './raw-caller.js';

/** Path for jobs of the only service. */
export const jobsPath = '/v1/services/register-svc/jobs';
/** Maximum size of a request body. */
export const bodyBytes = 65_536;
/** Maximum number of caller connections at each dispatcher. */
export const callersConnections = 8;
/** Seed of the system. */
export const seed = 20_261_203;

const settings = localSettingsSchema.parse({
  seed,
  limits: { bodyBytes, bodyTimeoutMilliseconds: 1_000, callersConnections },
  services: [
    {
      service: 'register-svc',
      racks: [{ rack: 'rack-1', dataCentre: 'dong-da', workers: 3 }],
      resources: { processors: 64, memoryMebibytes: 131_072 },
    },
  ],
  log: { level: 'error' },
});

/** A local system with the callbacks that receive its decisions. */
export interface WatchedSystem {
  readonly system: LocalSystem;
  readonly watchers: Set<DecisionSink>;
}

/** Response of a dispatcher to a submitted job. */
export interface JobResponse {
  readonly status: number;
  readonly body: {
    readonly answers?: readonly {
      readonly taskId: string;
      readonly answer: { readonly padding: string };
    }[];
    readonly started?: string;
  };
}

/** Starts a system with two dispatchers and three workers. */
export async function startWatchedSystem(): Promise<WatchedSystem> {
  const watchers = new Set<DecisionSink>();
  const started = await startLocalSystem(
    settings,
    createSystemTimerService(),
    watchDecisions(watchers),
  );
  return { system: started._unsafeUnwrap(), watchers };
}

/** Returns the address on which a dispatcher accepts callers. */
export function getCallersAddress(
  system: LocalSystem,
  dispatcher = 0,
): NetworkAddress {
  const address = system.dispatchers[dispatcher]?.addresses['callers'];
  if (address === undefined) throw new Error('There is no such dispatcher.');
  return address;
}

/** Composes the body of a job. */
export function composeJob(
  jobId: string,
  tasks = 3,
  payload: object = { runMilliseconds: 50 },
) {
  const taskIds = Array.from(
    { length: tasks },
    (_, index) => `task-${String(index)}`,
  );
  return { jobId, tasks: taskIds.map(taskId => ({ taskId, payload })) };
}

/** Posts a body as a job and reads the JSON response. */
export async function submitJob(
  system: LocalSystem,
  body: unknown,
  dispatcher = 0,
): Promise<JobResponse> {
  const { address, port } = getCallersAddress(system, dispatcher);
  const url = `http://${address}:${String(port)}${jobsPath}`;
  const response = await request(url, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${system.tokens.team ?? ''}`,
      connection: 'close',
    },
    body: JSON.stringify(body),
  });
  return {
    status: response.statusCode,
    body: (await response.body.json()) as JobResponse['body'],
  };
}

/** Sums the starts that all targets counted. */
export function countStarts({ workers }: LocalSystem): number {
  return workers.reduce((sum, { target }) => sum + target.starts.total(), 0);
}

/** Passes each decision to the watchers synchronously, right after it is recorded. */
function watchDecisions(watchers: Set<DecisionSink>): CreateEnvironment {
  return options => {
    const environment: RoleEnvironment = createRoleEnvironment(options);
    const record: DecisionSink = (decision, requestId) => {
      environment.decisions.record(decision, requestId);
      for (const watcher of watchers) watcher(decision, requestId);
    };
    return {
      ...environment,
      decisions: { record, close: () => environment.decisions.close() },
    };
  };
}

/** Creates a test function that starts and stops a system of its own for each test. */
export function createWatchedTest(): TestFn<WatchedSystem> {
  const test = anyTest as TestFn<WatchedSystem>;
  test.beforeEach(async t => {
    t.log(`seed ${String(seed)}`);
    t.context = await startWatchedSystem();
  });
  test.afterEach.always(async t => {
    closeRawCallers();
    await t.context.system.stop();
  });
  return test;
}
