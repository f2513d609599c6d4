/** Keeps processes on an in-memory network from dialling. */
import { ConnectionError } from '@cranberryturn/errors';
import type { MemoryNetwork, Network, PeerIdentity } from '@cranberryturn/wire';
import { errAsync } from 'neverthrow';

/** Makes every dial of a process fail while the process is in the set. */
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
          ? errAsync(
              new ConnectionError('The test isolates this process.', {
                step: 'dial',
              }),
            )
          : network.dial(address),
    };
  };
  return { ...memoryNetwork, join };
}
