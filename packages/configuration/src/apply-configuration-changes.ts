/** Applies accepted changes to the configuration that a follower holds. */
import type {
  ClusterConfiguration,
  ConfigurationChange,
} from '@cranberryturn/types';

import { applyIntent } from './apply-intent.js';

/** Returns the later configuration; undefined when a change is missing or cannot be applied. */
export function applyConfigurationChanges(
  configuration: ClusterConfiguration,
  changes: readonly ConfigurationChange[],
): ClusterConfiguration | undefined {
  let current = configuration;
  for (const change of changes) {
    if (change.version <= current.version) continue;
    if (change.version !== current.version + 1) return undefined;
    const next = applyIntent(current, change.intent);
    if (next.isErr()) return undefined;
    current = next.value;
  }
  return current;
}
