/** Keeps the tasks of all control hosts: those of the settings and those of the configuration. */
import type { ConfigurationFeed } from '@cranberryturn/configuration';
import type { RandomSource } from '@cranberryturn/random';
import type { TimerService } from '@cranberryturn/timers';
import type {
  ClusterConfiguration,
  NetworkAddress,
} from '@cranberryturn/types';
import {
  type ControlNotice,
  formatAddress,
  type Network,
} from '@cranberryturn/wire';

import { type ControlHost, keepControlHost } from './control-host.js';

/** The hosts. */
export interface ControlHosts {
  list(): readonly ControlHost[];
  stop(): void;
}

/** Starts the tasks, and follows the configuration with them. */
export function keepHosts(options: {
  readonly network: Network;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly seeds: readonly NetworkAddress[];
  readonly configuration: ConfigurationFeed;
  readonly handleNotice: (host: ControlHost, notice: ControlNotice) => void;
}): ControlHosts {
  const hosts = new Map<string, ControlHost>();

  const follow = (configuration: ClusterConfiguration): void => {
    const learned = configuration.controlHosts.map(host => host.address);
    const wanted = new Map(
      [...options.seeds, ...learned].map(address => [
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
        keepControlHost({
          ...options,
          address,
        }),
      );
    }
  };

  follow(options.configuration.current());
  const unsubscribe = options.configuration.subscribe(follow);
  return {
    list: () => [...hosts.values()],
    stop: () => {
      unsubscribe();
      for (const host of hosts.values()) host.stop();
    },
  };
}
