/** Observes the metrics of all processes of a local system, and injects faults into their networks. */
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

/** Metrics and networks of all processes whose environment `createEnvironment` created. */
export class MeasuredSystem {
  /** Names of the metrics that were above zero in a sample. */
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
    if (network === undefined)
      throw new Error(`There is no process ${process}.`);
    return network;
  }

  /** Waits until the sum of a counter over all processes has grown by `increase` since the call. */
  async waitForIncrease(counter: Counter, increase: number): Promise<void> {
    const threshold = this.#sumCounter(counter) + increase;
    while (this.#sumCounter(counter) < threshold)
      await sleep(timers, pollMilliseconds);
  }

  /** Samples all metrics until each named one has been above zero in some process. */
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
