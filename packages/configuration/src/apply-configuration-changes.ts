/** Replays accepted changes on the configuration of a follower. */
import type {
  ClusterConfiguration,
  ConfigurationChange,
} from '@cranberryturn/types';

import { applyIntent } from './apply-intent.js';

/**
 * Returns the updated configuration; undefined when a change is missing or
 * cannot be applied. Changes already applied are skipped.
 */
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
