/** Measures one control replica whose log is synced to disk. */
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { ControlNode } from '@cranberryturn/control';
import {
  createSystemTimerService,
  sleep,
  type TimerService,
} from '@cranberryturn/timers';
import { emptyConfiguration, type Milliseconds } from '@cranberryturn/types';
import { createWebSocketNetwork } from '@cranberryturn/wire';

import type { BenchContext } from '../../system/bench-context.js';
import { createBenchContext } from '../../system/bench-context.js';
import { startBenchControl } from '../../system/start-bench-roles.js';
import { type CountedNetwork, countTraffic } from '../count-traffic.js';
import { countClaims } from '../parts/claim-load.js';
import { measuredKeys } from '../parts/measured-keys.js';
import type { ScenarioInput, ScenarioSide } from '../scenario.js';
import { waitMeasuredInterval } from './idle.js';
import { waitForCount } from './wait-for-count.js';

const settleMilliseconds: Milliseconds = 2_000;

/** Starts a replica that is measured without load, with `size` followers. */
export function startIdleControl(input: ScenarioInput): Promise<ScenarioSide> {
  return startSide(
    input,
    (node, timers) => {
      void node;
      return waitMeasuredInterval(timers);
    },
    input.size,
  );
}

/** Starts a replica that is measured while it grants `size` concurrent claims. */
export function startClaimingControl(
  input: ScenarioInput,
): Promise<ScenarioSide> {
  return startSide(
    input,
    (node, timers) =>
      waitForCount(
        timers,
        () => node.state.claims.unfinished.size,
        countClaims(input.size),
      ),
    1,
  );
}

async function startSide(
  { seed }: ScenarioInput,
  work: (node: ControlNode, timers: TimerService) => Promise<number>,
  followers: number,
): Promise<ScenarioSide> {
  const timers = createSystemTimerService();
  let counted: CountedNetwork | undefined;
  const shared = createBenchContext(timers);
  const context: BenchContext = {
    ...shared,
    getDecisionSink: () => () => undefined,
    join: self => {
      counted = countTraffic(
        createWebSocketNetwork({ self, keys: measuredKeys, timers }),
      );
      return counted.network;
    },
  };
  const folder = await mkdtemp(join(tmpdir(), 'cranberry-bench-'));
  const node = await startBenchControl(context, folder, seed, {
    services: emptyConfiguration.services,
    teams: emptyConfiguration.teams,
    workers: emptyConfiguration.workers,
    drainedRacks: emptyConfiguration.drainedRacks,
    drainedDataCentres: emptyConfiguration.drainedDataCentres,
    controlHosts: emptyConfiguration.controlHosts,
  });
  return {
    addresses: [node.address],
    ready: async () => {
      await waitForCount(timers, () => node.feed.followers(), followers);
      await sleep(timers, settleMilliseconds);
    },
    work: () => work(node, timers),
    traffic: () => counted?.count() ?? { messages: 0, bytes: 0 },
  };
}
