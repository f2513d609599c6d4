/**
 * The leader tells dispatchers of the roster where the group is when they do not report to it. After
 * a restart a dispatcher knows only its seeds, which may have forgotten the group as well.
 */
import type { Logger } from '@cranberryturn/logger';
import { type LogStatus, ReplicaRole } from '@cranberryturn/replicated-log';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type {
  DispatcherId,
  KnownDispatcher,
  Milliseconds,
} from '@cranberryturn/types';
import {
  type ControlNotice,
  ControlNoticeKind,
  isStartupPeriod,
  maximumProofAge,
  type Network,
} from '@cranberryturn/wire';

import { callHost } from './call-host.js';
import type { ControlState } from './control-state.js';
import type { InForceTable } from './in-force-table.js';
import { listDurableHosts } from './list-durable-hosts.js';

const checkIntervalMilliseconds: Milliseconds = 100;
/** Time between two invitations of the same dispatcher. */
const repeatIntervalMilliseconds: Milliseconds = 1_000;
const invitationTimeoutMilliseconds: Milliseconds = 500;
/** Dispatchers report each second, and follow another leader by themselves within this time. */
const reportSilenceLimitMilliseconds: Milliseconds = 3_000;

/** Dependencies of the invitations. */
export interface InvitationOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly network: Network;
  readonly state: Pick<ControlState, 'roster'>;
  readonly status: () => LogStatus;
  readonly inForce: InForceTable;
}

/** Starts the invitations, which are sent only while this replica leads. */
export function inviteDispatchers(
  options: InvitationOptions,
): TimerSubscription {
  const { timers, logger, network, state, status } = options;
  const startedAt = timers.now();
  const invitedAt = new Map<DispatcherId, Milliseconds>();
  let ledSince: Milliseconds | undefined;

  const invite = async (
    { dispatcherId, address }: KnownDispatcher,
    notice: ControlNotice,
  ): Promise<void> => {
    const invited = await callHost(
      { network, timers, timeout: invitationTimeoutMilliseconds },
      address,
      notice,
    );
    if (invited.isErr()) {
      logger.info('dispatcher not told where control is; repeating', {
        dispatcherId,
        error: invited.error,
      });
      return;
    }
    logger.info('dispatcher told where control is', { dispatcherId });
  };

  const isDue = ({ dispatcherId }: KnownDispatcher): boolean => {
    const now = timers.now();
    const reported = options.inForce.find(dispatcherId)?.receivedAt;
    const silence = now - Math.max(ledSince ?? now, reported ?? 0);
    // Where this process has just started, the dispatchers may have as well.
    const isRestart =
      reported === undefined && isStartupPeriod(now - startedAt);
    if (!isRestart && silence < reportSilenceLimitMilliseconds) return false;
    const invited = invitedAt.get(dispatcherId) ?? Number.NEGATIVE_INFINITY;
    return now - invited >= repeatIntervalMilliseconds;
  };

  return timers.every(checkIntervalMilliseconds, () => {
    const current = status();
    if (!isProvedLeader(current, timers.now())) {
      ledSince = undefined;
      return;
    }
    ledSince ??= timers.now();
    const notice: ControlNotice = {
      kind: ControlNoticeKind.ControlHosts,
      addresses: listDurableHosts(current.members),
    };
    for (const dispatcher of state.roster.dispatchers.values()) {
      if (!isDue(dispatcher)) continue;
      invitedAt.set(dispatcher.dispatcherId, timers.now());
      void invite(dispatcher, notice);
    }
  });
}

function isProvedLeader(
  { role, leadershipProvedAt }: LogStatus,
  now: Milliseconds,
): boolean {
  if (role !== ReplicaRole.Leader || leadershipProvedAt === undefined)
    return false;
  return now - leadershipProvedAt <= maximumProofAge;
}
