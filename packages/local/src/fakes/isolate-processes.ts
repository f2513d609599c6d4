/** A network in memory on which a test keeps some processes from dialling. */
import { ConnectionError } from '@cranberryturn/errors';
import type { MemoryNetwork, Network, PeerIdentity } from '@cranberryturn/wire';
import { errAsync } from 'neverthrow';

/** Refuses what processes dial whose names are in the set. */
export function isolateProcesses(
  memory: MemoryNetwork,
  isolated: ReadonlySet<string>,
): MemoryNetwork {
  const join = (self: PeerIdentity): Network => {
    const network = memory.join(self);
    return {
      ...network,
      dial: address =>
        isolated.has(self.name)
          ? errAsync(new ConnectionError('No way out.', { step: 'dial' }))
          : network.dial(address),
    };
  };
  return { ...memory, join };
}
