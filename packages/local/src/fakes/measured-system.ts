/** Watches the metrics of all processes of a local system, and reaches their networks. */
import type { Counter } from '@cranberryturn/metrics';
import {
  createRoleEnvironment,
  type RoleEnvironment,
} from '@cranberryturn/program';
import { createSystemTimerService, sleep } from '@cranberryturn/timers';

import type { CreateEnvironment } from '../start-local-system.js';
import { createFaultyNetwork, type FaultyNetwork } from './faulty-network.js';

const timers = createSystemTimerService();
const pollMilliseconds = 5;

/** A system of which each process and its network can be reached. */
export class MeasuredSystem {
  readonly observedMetrics = new Set<string>();
  readonly #environments: RoleEnvironment[] = [];
  readonly #networks = new Map<string, FaultyNetwork>();

  readonly createEnvironment: CreateEnvironment = options => {
    const environment: RoleEnvironment = {
      ...createRoleEnvironment(options),
      wrapNetwork: (network, self) => {
        const faulty = createFaultyNetwork(network);
        this.#networks.set(self.name, faulty);
        return faulty.network;
      },
    };
    this.#environments.push(environment);
    return environment;
  };

  getNetwork(process: string): FaultyNetwork {
    const network = this.#networks.get(process);
    if (network === undefined) throw new Error(`no process ${process}`);
    return network;
  }

  /** Waits until all processes together counted `more` more events than at the call. */
  async waitForIncrease(counter: Counter, increase: number): Promise<void> {
    const threshold = this.#sumCounter(counter) + increase;
    while (this.#sumCounter(counter) < threshold)
      await sleep(timers, pollMilliseconds);
  }

  /** Waits until each metric was above zero at some process. */
  async waitForMetrics(...names: readonly string[]): Promise<void> {
    for (;;) {
      this.#sampleMetrics();
      if (names.every(name => this.observedMetrics.has(name))) return;
      await sleep(timers, pollMilliseconds);
    }
  }

  #sumCounter(counter: Counter): number {
    return this.#environments.reduce(
      (sum, { metrics }) => sum + metrics.read().counters[counter],
      0,
    );
  }

  #sampleMetrics(): void {
    for (const { metrics } of this.#environments) {
      const { counters, wasted, gauges, distributions } = metrics.read();
      const values: (readonly [string, number])[] = [
        ...Object.entries(counters),
        ...Object.entries(wasted),
        ...gauges.map(one => [one.gauge, one.value] as const),
        ...distributions.map(one => [one.distribution, one.count] as const),
      ];
      for (const [name, value] of values)
        if (value > 0) this.observedMetrics.add(name);
    }
  }
}
