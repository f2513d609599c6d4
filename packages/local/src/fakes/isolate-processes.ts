/** A network in memory on which a test keeps some processes from dialling. */
import { ConnectionError } from '@cranberryturn/errors';
import type { MemoryNetwork, Network, PeerIdentity } from '@cranberryturn/wire';
import { errAsync } from 'neverthrow';

/** Refuses what processes dial whose names are in the set. */
export function isolateProcesses(
  memoryNetwork: MemoryNetwork,
  isolatedProcesses: ReadonlySet<string>,
): MemoryNetwork {
  const join = (self: PeerIdentity): Network => {
    const network = memoryNetwork.join(self);
    return {
      ...network,
      dial: address =>
        isolatedProcesses.has(self.name)
          ? errAsync(new ConnectionError('No way out.', { step: 'dial' }))
          : network.dial(address),
    };
  };
  return { ...memoryNetwork, join };
}
