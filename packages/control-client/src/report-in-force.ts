/** Tells the leader what this dispatcher has in force and which sidecars it does not hear. */
import type {
  ConfigurationVersion,
  DispatcherIdentity,
  Roster,
  TargetId,
  TargetIdentity,
} from '@cranberryturn/types';
import type { InForceReport, RemoteCalls } from '@cranberryturn/wire';

import type { LatestState } from './latest-state.js';

/** What the reports are made of. */
export interface ReporterOptions {
  readonly self: DispatcherIdentity;
  readonly latest: LatestState;
  /** Open connection to the leader. */
  readonly findLeader: () => RemoteCalls | undefined;
  readonly listTargetsBehind?:
    ((version: ConfigurationVersion) => readonly TargetId[]) | undefined;
  readonly listSilentTargets?:
    ((roster: Roster) => readonly TargetIdentity[]) | undefined;
}

/** Creates the function that sends one report. */
export function createInForceReporter(options: ReporterOptions): () => void {
  const { self, latest, findLeader } = options;
  let reportedTo: RemoteCalls | undefined;
  let lastReported = '';

  /** Only what the leader was not told over this connection. */
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
