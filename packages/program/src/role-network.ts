/** Creates the incarnation, the random seed and the network of a role. */
import { randomInt, randomUUID } from 'node:crypto';

import {
  createTrustedNetworkKeys,
  readSharedKeyFile,
} from '@cranberryturn/authentication';
import type { InvalidInputError } from '@cranberryturn/errors';
import { Counter } from '@cranberryturn/metrics';
import type { Incarnation } from '@cranberryturn/types';
import {
  createWebSocketNetwork,
  type Network,
  type PeerIdentity,
} from '@cranberryturn/wire';
import { ok, type Result } from 'neverthrow';

import { logPeerFaults } from './log-peer-faults.js';
import { measureNetwork } from './measure-network.js';
import type { RoleEnvironment } from './role-environment.js';

const exclusiveSeedMaximum = 2 ** 31;

/** Creates a random identifier for one run of a process; a restart gets a new one. */
export function createIncarnation(): Incarnation {
  return randomUUID();
}

/** Returns the seed of the settings, or a random one. Logs the seed, so that the run can be reproduced. */
export function chooseSeed(
  seed: number | undefined,
  { logger }: RoleEnvironment,
): number {
  const chosen = seed ?? randomInt(exclusiveSeedMaximum);
  logger.info('random numbers seeded', { seed: chosen });
  return chosen;
}

/**
 * Returns a function that creates the network of a process. Peers must prove a key of `sharedKeyFile`;
 * without a file, every peer is trusted. Fails when the file is unreadable or invalid.
 */
export function createRoleNetworkFactory(
  sharedKeyFile: string | undefined,
  environment: RoleEnvironment,
): Result<(self: PeerIdentity) => Network, InvalidInputError> {
  const { timers, logger, metrics, wrapNetwork } = environment;
  if (sharedKeyFile === undefined) {
    logger.warn(
      'no shared key file: every process that reaches the ports is trusted',
    );
  }
  const keys =
    sharedKeyFile === undefined
      ? ok(createTrustedNetworkKeys())
      : readSharedKeyFile(sharedKeyFile);
  return keys.map(sharedKeys => self => {
    const network = createWebSocketNetwork({
      self,
      keys: sharedKeys,
      timers,
      handlePeerRefusal: error => {
        metrics.count(Counter.PeersRefused);
        logger.warn('peer refused', { error });
      },
    });
    const measured = measureNetwork(network, metrics);
    return logPeerFaults(
      wrapNetwork === undefined ? measured : wrapNetwork(measured, self),
      logger,
    );
  });
}
