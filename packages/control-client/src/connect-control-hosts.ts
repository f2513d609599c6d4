/**
 * Maintains connections to all known control hosts: seeds from the settings, hosts from the
 * configuration and members of the log.
 */
import type { ConfigurationFeed } from '@cranberryturn/configuration';
import type { RandomSource } from '@cranberryturn/random';
import type { TimerService } from '@cranberryturn/timers';
import type { NetworkAddress } from '@cranberryturn/types';
import {
  type ControlNotice,
  formatAddress,
  type Network,
  type PropagationTimes,
} from '@cranberryturn/wire';

import { type ControlHost, connectControlHost } from './control-host.js';
import type { ControlHostFeed } from './latest-state.js';

/** The control hosts to which connections are maintained. */
export interface ControlHosts {
  list(): readonly ControlHost[];
  /** Replaces the seed addresses. */
  changeSeeds(seeds: readonly NetworkAddress[]): void;
  stop(): void;
}

/**
 * Connects to the known control hosts, and adds or removes connections when the list of hosts
 * changes.
 */
export function connectControlHosts(options: {
  readonly network: Network;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly seeds: readonly NetworkAddress[];
  readonly configuration: ConfigurationFeed;
  /** Members of the log, which control sends where the replicas manage their own membership. */
  readonly controlHosts: ControlHostFeed;
  readonly times: PropagationTimes;
  /** Called when a connection has opened. */
  readonly handleOpen: () => void;
  readonly handleNotice: (host: ControlHost, notice: ControlNotice) => void;
}): ControlHosts {
  const hosts = new Map<string, ControlHost>();
  let { seeds } = options;

  const updateConnections = (): void => {
    const configured = options.configuration
      .current()
      .controlHosts.map(host => host.address);
    const members = options.controlHosts.current();
    const wanted = new Map(
      [...seeds, ...configured, ...members].map(address => [
        formatAddress(address),
        address,
      ]),
    );
    for (const [key, host] of hosts) {
      if (wanted.has(key)) continue;
      hosts.delete(key);
      host.stop();
    }
    for (const [key, address] of wanted) {
      if (hosts.has(key)) continue;
      hosts.set(
        key,
        connectControlHost({
          ...options,
          address,
        }),
      );
    }
  };

  updateConnections();
  const unsubscribeConfiguration =
    options.configuration.subscribe(updateConnections);
  const unsubscribeMembers = options.controlHosts.subscribe(updateConnections);
  return {
    list: () => [...hosts.values()],
    changeSeeds: changed => {
      seeds = changed;
      updateConnections();
    },
    stop: () => {
      unsubscribeConfiguration();
      unsubscribeMembers();
      for (const host of hosts.values()) host.stop();
    },
  };
}
