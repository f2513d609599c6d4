/**
 * Reports to the leader which configuration version this dispatcher has in force and which sidecars
 * are silent.
 */
import type {
  ConfigurationVersion,
  DispatcherIdentity,
  Roster,
  TargetId,
  TargetIdentity,
} from '@cranberryturn/types';
import type { InForceReport, RemoteCalls } from '@cranberryturn/wire';

import type { LatestState } from './latest-state.js';

/** Sources of the reports. */
export interface ReporterOptions {
  readonly self: DispatcherIdentity;
  readonly latest: LatestState;
  /** Finds the open connection to the leader; undefined means that no report is sent. */
  readonly findLeader: () => RemoteCalls | undefined;
  readonly listTargetsBehind?:
    ((version: ConfigurationVersion) => readonly TargetId[]) | undefined;
  readonly listSilentTargets?:
    ((roster: Roster) => readonly TargetIdentity[]) | undefined;
}

/** Creates a function that sends one report to the leader. */
export function createInForceReporter(options: ReporterOptions): () => void {
  const { self, latest, findLeader } = options;
  let reportedTo: RemoteCalls | undefined;
  let lastReported = '';

  /**
   * Returns the silent targets, or undefined when the last report over this connection had the same
   * list.
   */
  const composeSilentTargets = (
    leader: RemoteCalls,
  ): readonly TargetIdentity[] | undefined => {
    const silent = options.listSilentTargets?.(latest.roster.current()) ?? [];
    const described = JSON.stringify(silent);
    if (leader === reportedTo && described === lastReported) return undefined;
    reportedTo = leader;
    lastReported = described;
    return silent;
  };

  return () => {
    const leader = findLeader();
    if (leader === undefined) return;
    const { version } = latest.configuration.current();
    const report: InForceReport = {
      dispatcher: self,
      configurationVersion: version,
      targetsBehind: options.listTargetsBehind?.(version) ?? [],
      silentTargets: composeSilentTargets(leader),
    };
    leader.notify(report);
  };
}
