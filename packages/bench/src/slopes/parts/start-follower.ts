/** The control client of a dispatcher, without the dispatcher. */
import {
  type ControlClient,
  createControlClient,
} from '@cranberryturn/control-client';
import { createRandomSource } from '@cranberryturn/random';
import type { TimerService } from '@cranberryturn/timers';
import type { NetworkAddress } from '@cranberryturn/types';
import { createWebSocketNetwork } from '@cranberryturn/wire';

import { createDispatcherIdentity, formatReplicaName } from './identities.js';
import { measuredKeys } from './measured-keys.js';

/** Starts a client that follows the replicas at these addresses. The seed and number give its random source. */
export function startFollower(
  number: number,
  addresses: readonly NetworkAddress[],
  timers: TimerService,
  seed: number,
): ControlClient {
  const self = createDispatcherIdentity(number);
  return createControlClient({
    network: createWebSocketNetwork({ self, keys: measuredKeys, timers }),
    timers,
    random: createRandomSource(seed + number),
    self: { dispatcherId: self.name, incarnation: self.incarnation },
    controlHosts: addresses.map((address, position) => ({
      replicaId: formatReplicaName(position),
      address,
    })),
  });
}
