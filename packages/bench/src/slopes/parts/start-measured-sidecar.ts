/** Starts the product's sidecar as the measured process. */
import { createRandomSource } from '@cranberryturn/random';
import {
  createHttpTarget,
  startSidecar,
  type TargetPort,
} from '@cranberryturn/sidecar';
import { sleep, type TimerService } from '@cranberryturn/timers';
import {
  DecisionKind,
  type Milliseconds,
  type NetworkAddress,
} from '@cranberryturn/types';
import { createWebSocketNetwork } from '@cranberryturn/wire';

import { countTraffic } from '../count-traffic.js';
import type { TrafficCount } from '../reading.js';
import { composeAnnouncement, createSidecarIdentity } from './identities.js';
import { measuredKeys } from './measured-keys.js';

/** The product's sidecar with counters of traffic and ended attempts. */
export interface MeasuredSidecar {
  traffic(): TrafficCount;
  /** Number of attempts that have ended so far. */
  countEnded(): number;
  /** Resolves one second after a session with every dispatcher is open. */
  waitForSessions(): Promise<void>;
}

const retainedMilliseconds: Milliseconds = 600_000;
const retainedBytes = 64 * 1_048_576;
const pollMilliseconds: Milliseconds = 20;
const settleMilliseconds: Milliseconds = 1_000;

/** Starts a sidecar that opens sessions with these dispatchers. */
export function startMeasuredSidecar(options: {
  readonly timers: TimerService;
  readonly seed: number;
  readonly dispatchers: readonly NetworkAddress[];
  readonly target: NetworkAddress;
}): MeasuredSidecar {
  const { timers, dispatchers } = options;
  const counted = countTraffic(
    createWebSocketNetwork({
      self: createSidecarIdentity(0),
      keys: measuredKeys,
      timers,
    }),
  );
  const target: TargetPort = createHttpTarget({
    url: `http://${options.target.address}:${String(options.target.port)}`,
    connections: 64,
  });
  let ended = 0;
  const sidecar = startSidecar({
    announcement: composeAnnouncement(0),
    dispatchers,
    network: counted.network,
    target,
    timers,
    random: createRandomSource(options.seed),
    decisions: decision => {
      if (decision.kind === DecisionKind.Ended) ended += 1;
    },
    retention: {
      startsMilliseconds: retainedMilliseconds,
      answersBytes: retainedBytes,
    },
    queueLimit: 8,
  });
  return {
    traffic: counted.count,
    countEnded: () => ended,
    waitForSessions: async () => {
      while (sidecar.sessions().length < dispatchers.length) {
        await sleep(timers, pollMilliseconds);
      }
      await sleep(timers, settleMilliseconds);
    },
  };
}
