/** Keeps the tasks of all control hosts: those of the settings and those of the configuration. */
import type { ConfigurationFeed } from '@cranberryturn/configuration';
import type { RandomSource } from '@cranberryturn/random';
import type { TimerService } from '@cranberryturn/timers';
import type { NetworkAddress } from '@cranberryturn/types';
import {
  type ControlNotice,
  formatAddress,
  type Network,
} from '@cranberryturn/wire';

import { type ControlHost, connectControlHost } from './control-host.js';
import type { ControlHostFeed } from './latest-state.js';

/** The hosts. */
export interface ControlHosts {
  list(): readonly ControlHost[];
  /** Replaces the hosts to dial first. */
  changeSeeds(seeds: readonly NetworkAddress[]): void;
  stop(): void;
}

/** Starts the tasks, and follows the configuration with them. */
export function connectControlHosts(options: {
  readonly network: Network;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly seeds: readonly NetworkAddress[];
  readonly configuration: ConfigurationFeed;
  /** Members of a group that forms by itself. */
  readonly controlHosts: ControlHostFeed;
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
