/** Measures several control replicas in one process, each with a log synced to disk. */
import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { findFreePorts } from '@cranberryturn/local';
import { createSystemTimerService } from '@cranberryturn/timers';
import { emptyConfiguration } from '@cranberryturn/types';
import { createWebSocketNetwork } from '@cranberryturn/wire';

import {
  type BenchContext,
  createBenchContext,
} from '../../system/bench-context.js';
import { startBenchReplica } from '../../system/start-bench-roles.js';
import { type CountedNetwork, countTraffic } from '../count-traffic.js';
import { countClaims } from '../parts/claim-load.js';
import { formatReplicaName } from '../parts/identities.js';
import { measuredKeys } from '../parts/measured-keys.js';
import type { ScenarioInput, ScenarioSide } from '../scenario.js';
import { waitForCount } from './wait-for-count.js';

/** Number of concurrent claims, whatever the number of replicas. */
export const concurrentReplicatedClaims = 64;

/** Starts `size` replicas, whose total cost for granting claims is measured. */
export async function startReplicas({
  size,
  seed,
}: ScenarioInput): Promise<ScenarioSide> {
  const timers = createSystemTimerService();
  const networks: CountedNetwork[] = [];
  const context: BenchContext = {
    ...createBenchContext(timers),
    getDecisionSink: () => () => undefined,
    join: self => {
      const counted = countTraffic(
        createWebSocketNetwork({ self, keys: measuredKeys, timers }),
      );
      networks.push(counted);
      return counted.network;
    },
  };
  const ports = await findFreePorts('127.0.0.1', size);
  const members = ports.map((port, position) => ({
    replicaId: formatReplicaName(position),
    address: { address: '127.0.0.1', port },
  }));
  const nodes = await Promise.all(
    members.map(async ({ replicaId }, position) =>
      startBenchReplica(context, {
        replicaId,
        members,
        folder: await mkdtemp(join(tmpdir(), 'cranberry-bench-')),
        seed: seed + position,
        initialConfiguration: emptyConfiguration,
      }),
    ),
  );
  const countClaimed = (): number =>
    Math.min(...nodes.map(node => node.state.claims.unfinished.size));
  return {
    addresses: members.map(member => member.address),
    ready: async () => {
      await waitForCount(timers, () => countFollowers(nodes), 1);
    },
    work: () =>
      waitForCount(
        timers,
        countClaimed,
        countClaims(concurrentReplicatedClaims),
      ),
    traffic: () => sumTraffic(networks),
  };
}

function countFollowers(
  nodes: readonly { readonly feed: { followers(): number } }[],
): number {
  return nodes.reduce((sum, node) => sum + node.feed.followers(), 0);
}

function sumTraffic(networks: readonly CountedNetwork[]) {
  const counts = networks.map(network => network.count());
  return {
    messages: counts.reduce((sum, one) => sum + one.messages, 0),
    bytes: counts.reduce((sum, one) => sum + one.bytes, 0),
  };
}
