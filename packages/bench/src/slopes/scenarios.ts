/** Every scenario that is measured for docs/CAPACITY.md. */
import type { Scenario } from './scenario.js';
import { heldMemory } from './scenarios/bare-runtime.js';
import { sidecarSessions } from './scenarios/sidecar-sessions.js';
import { sidecarStarts } from './scenarios/sidecar-starts.js';

/** Every scenario that is measured for docs/CAPACITY.md. */
export const scenarios: readonly Scenario[] = [
  heldMemory,
  sidecarSessions,
  sidecarStarts,
];

/** Finds a scenario by its name. */
export function findScenario(name: string): Scenario {
  const found = scenarios.find(scenario => scenario.name === name);
  if (found !== undefined) return found;
  const known = scenarios.map(scenario => scenario.name).join(', ');
  throw new Error(`There is no scenario "${name}"; choose one of ${known}.`);
}
