/** Measures the product's dispatcher; control is replaced by a fake in memory. */
import { digestToken } from '@cranberryturn/authentication';
import { type Dispatcher, startDispatcher } from '@cranberryturn/dispatcher';
import { createMetrics } from '@cranberryturn/metrics';
import {
  createSystemTimerService,
  sleep,
  type TimerService,
} from '@cranberryturn/timers';
import {
  DecisionKind,
  emptyConfiguration,
  type Milliseconds,
} from '@cranberryturn/types';
import { createWebSocketNetwork, ProcessRole } from '@cranberryturn/wire';

import { createMemoryControl } from '../../fakes/memory-control.js';
import { type CountedNetwork, countTraffic } from '../count-traffic.js';
import {
  measuredService,
  createDispatcherIdentity,
} from '../parts/identities.js';
import {
  busyDispatcherSidecars,
  countJobs,
  measuredTeam,
  measuredToken,
} from '../parts/job-load.js';
import { measuredKeys } from '../parts/measured-keys.js';
import type { ScenarioInput, ScenarioSide } from '../scenario.js';
import { waitMeasuredInterval, waitUntilIdle } from './idle.js';
import { waitForCount } from './wait-for-count.js';

const bytesPerMebibyte = 1_048_576;
const anyPort = { address: '127.0.0.1', port: 0 };
const settleMilliseconds: Milliseconds = 1_500;

/** Starts a dispatcher that is measured with `size` idle sidecars. */
export async function startIdleDispatcher(
  input: ScenarioInput,
): Promise<ScenarioSide> {
  const side = await startSide(input.seed, input.size, waitMeasuredInterval);
  return {
    ...side,
    ready: async () => {
      await side.ready();
      await waitUntilIdle(createSystemTimerService());
    },
  };
}

/** Starts a dispatcher that is measured while it serves jobs of `size` tasks. */
export function startBusyDispatcher(
  input: ScenarioInput,
): Promise<ScenarioSide> {
  const jobs = countJobs(input.size);
  return startSide(input.seed, busyDispatcherSidecars, (timers, answered) =>
    waitForCount(timers, answered, jobs),
  );
}

async function startSide(
  seed: number,
  sidecars: number,
  work: (timers: TimerService, answered: () => number) => Promise<number>,
): Promise<ScenarioSide> {
  const timers = createSystemTimerService();
  const counted = countTraffic(
    createWebSocketNetwork({
      self: createDispatcherIdentity(0),
      keys: measuredKeys,
      timers,
    }),
  );
  let answered = 0;
  const dispatcher = await startMeasuredDispatcher(
    seed,
    timers,
    counted,
    () => {
      answered += 1;
    },
  );
  return {
    addresses: [dispatcher.peersAddress, dispatcher.callersAddress],
    ready: async () => {
      const countTargets = (): number =>
        dispatcher.scheduler.status().targets.length;
      await waitForCount(timers, countTargets, sidecars);
      await sleep(timers, settleMilliseconds);
      answered = 0;
    },
    work: () => work(timers, () => answered),
    traffic: counted.count,
  };
}

async function startMeasuredDispatcher(
  seed: number,
  timers: TimerService,
  counted: CountedNetwork,
  jobAnswered: () => void,
): Promise<Dispatcher> {
  const { name, incarnation } = createDispatcherIdentity(0);
  const started = await startDispatcher({
    self: { dispatcherId: name, incarnation },
    callers: anyPort,
    peers: anyPort,
    teams: [{ team: measuredTeam, tokenDigests: [digestToken(measuredToken)] }],
    limits: {
      bodyBytes: 8 * bytesPerMebibyte,
      bodyTimeoutMilliseconds: 10_000,
      callersConnections: 4_096,
    },
    retention: {
      answersMilliseconds: 600_000,
      answersBytes: 64 * bytesPerMebibyte,
    },
    network: counted.network,
    control: createMemoryControl({
      ...emptyConfiguration,
      version: 1,
      services: [
        {
          service: measuredService,
          queueLimit: 100_000,
          defaultDeadlineMilliseconds: 30_000,
          retryBudgetPercent: 10,
        },
      ],
    }),
    timers,
    seed,
    metrics: createMetrics({
      role: ProcessRole.Dispatcher,
      process: name,
      timers,
    }),
    decisions: decision => {
      if (decision.kind === DecisionKind.Replied) jobAnswered();
    },
  });
  if (started.isErr()) throw started.error;
  return started.value;
}
