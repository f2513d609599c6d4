/** Applies roster changes to the copy of a follower. */
import type { Roster, RosterChanges } from '@cranberryturn/types';

/** Returns the updated roster, or undefined when the changes do not cover the version of this roster. */
export function applyRosterChanges(
  roster: Roster,
  changes: RosterChanges,
): Roster | undefined {
  if (roster.version < changes.baseVersion) return undefined;
  if (roster.version > changes.version) return undefined;
  const targets = new Map(
    roster.targets.map(target => [target.targetId, target]),
  );
  for (const run of changes.retired) {
    const known = targets.get(run.targetId);
    if (known?.incarnation === run.incarnation) targets.delete(run.targetId);
  }
  for (const target of changes.registered) targets.set(target.targetId, target);
  return {
    ...roster,
    version: changes.version,
    dispatchers: changes.dispatchers,
    targets: [...targets.values()],
  };
}
