/** The hosts of a scenario. */
import type { TargetRecord } from '@cranberryturn/types';

import type { Scenario } from './scenarios.js';

const workersPerRack = 3;

/** The worker with this number. */
export function createTargetRecord(
  scenario: Scenario,
  number: number,
): TargetRecord {
  const rack = Math.floor(number / workersPerRack);
  return {
    targetId: `worker-${String(number)}`,
    incarnation: 'run-1',
    service: 'register',
    host: `host-${String(number)}`,
    rack: `rack-${String(rack)}`,
    dataCentre: nameDataCentre(scenario, rack),
    resources: { processors: 64, memoryMebibytes: 131_072, accelerators: 0 },
    slots: scenario.slots,
    connections: 64,
    registeredAt: number + 1,
  };
}

/** The dispatcher with this number. */
export function nameDispatcher(position: number): string {
  return `dispatcher-${String(position)}`;
}

/** The data centre of a rack or a dispatcher. */
export function nameDataCentre(scenario: Scenario, position: number): string {
  return `data-centre-${String(position % scenario.dataCentres)}`;
}
