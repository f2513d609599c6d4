/** Creates what a role needs to take part: its run, its random numbers and its network. */
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

import { measureNetwork } from './measure-network.js';
import type { RoleEnvironment } from './role-environment.js';

const exclusiveSeedMaximum = 2 ** 31;

/** Draws the identity of one run of a process. */
export function createIncarnation(): Incarnation {
  return randomUUID();
}

/** The seed of the settings, or a drawn one. It is logged, so that a run can be repeated. */
export function chooseSeed(
  seed: number | undefined,
  { logger }: RoleEnvironment,
): number {
  const chosen = seed ?? randomInt(exclusiveSeedMaximum);
  logger.info('random numbers seeded', { seed: chosen });
  return chosen;
}

/** Creates networks for one process, whose peers must hold a key of the file; without a file, every peer is trusted. */
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
    return wrapNetwork === undefined ? measured : wrapNetwork(measured, self);
  });
}
