/** Names and records of the simulated hosts. */
import type { TargetRecord } from '@cranberryturn/types';

import type { Scenario } from './scenarios.js';

const workersPerRack = 3;

/** Record of the worker with this number; three workers share a rack. */
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

/** Name of the dispatcher at this position. */
export function nameDispatcher(position: number): string {
  return `dispatcher-${String(position)}`;
}

/** Name of the data centre of a rack or dispatcher; positions are assigned round robin. */
export function nameDataCentre(scenario: Scenario, position: number): string {
  return `data-centre-${String(position % scenario.dataCentres)}`;
}
