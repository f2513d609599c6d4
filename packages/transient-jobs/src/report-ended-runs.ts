/** Logs why a dispatcher counts all runs of a session as ended without a report on each (docs/decisions/ended-runs.md). */
import type { Logger } from '@cranberryturn/logger';
import type { TimerService } from '@cranberryturn/timers';

import type { SidecarSession } from './sidecar-session.js';

/** Why the runs of a session count as ended. */
export enum RunsEndedReason {
  /** Another process of the sidecar has found no run at the worker. */
  SidecarReplaced = 'sidecar-replaced',
  /** The sidecar has left the session, in which it has no run. */
  SidecarLeft = 'sidecar-left',
  /** The sidecar was silent for longer than the lease of its runs. */
  SidecarSilent = 'sidecar-silent',
}

/** Logs the decision with the silence that it rests on. */
export function reportEndedRuns(
  { peer, lastHeardAt }: SidecarSession,
  reason: RunsEndedReason,
  {
    timers,
    logger,
  }: { readonly timers: TimerService; readonly logger: Logger },
): void {
  logger.warn('runs of a session counted as ended', {
    sidecar: peer.name,
    incarnation: peer.incarnation,
    reason,
    silenceMilliseconds: Math.round(timers.now() - lastHeardAt),
  });
}
