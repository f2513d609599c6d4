/**
 * Removes runs from the roster whose lease has expired because nobody heard them. Only the leader
 * decides.
 */
import type { Logger } from '@cranberryturn/logger';
import {
  composeDispatcherKey,
  composeTargetKey,
  type DispatcherRegistration,
  type ExpiredRuns,
  type RegisteredDispatcher,
  type TargetRegistration,
} from '@cranberryturn/membership';
import { type LogStatus, ReplicaRole } from '@cranberryturn/replicated-log';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds, TargetRecord, Term } from '@cranberryturn/types';
import { maximumProofAge, registrationLease } from '@cranberryturn/wire';

import type { OperationProposer } from './batch-operations.js';
import { OperationKind } from './control-operations.js';
import type { ControlState } from './control-state.js';
import type { InForceTable, ReceivedReport } from './in-force-table.js';

const checkIntervalMilliseconds: Milliseconds = 1_000;
/** Maximum age of a dispatcher report that still counts as current. */
const maximumReportAgeMilliseconds: Milliseconds = 3_000;

/** Dependencies of the expiry task. */
export interface ExpiryOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly state: Pick<ControlState, 'roster'>;
  readonly status: () => LogStatus;
  readonly inForce: InForceTable;
  readonly proposer: OperationProposer;
}

interface ProvedLeadership {
  readonly term: Term;
  readonly since: Milliseconds;
  /** Time at which this leader first saw each registration of a dispatcher, by registration key. */
  readonly firstSeen: Map<string, Milliseconds>;
}

/**
 * Starts the periodic expiry. A new leader waits for a full lease first, so that all dispatchers
 * can report.
 */
export function expireSilentRuns(options: ExpiryOptions): TimerSubscription {
  const { timers, logger, proposer } = options;
  let leadership: ProvedLeadership | undefined;
  let isProposing = false;

  const proposeExpiry = async (expired: ExpiredRuns): Promise<void> => {
    isProposing = true;
    logger.warn('silent runs leave the roster', { ...expired });
    const proposed = await proposer.submit({
      kind: OperationKind.ExpireRuns,
      expired,
    });
    if (proposed.isErr()) {
      logger.info('silent runs not removed from the roster; retrying', {
        error: proposed.error,
      });
    }
    isProposing = false;
  };

  return timers.every(checkIntervalMilliseconds, () => {
    leadership = trackLeadership(leadership, options.status(), timers.now());
    if (leadership === undefined) return;
    recordRegistrations(leadership, options.state, timers.now());
    if (isProposing) return;
    if (timers.now() - leadership.since < registrationLease) return;
    const expired = findExpiredRuns(options, leadership);
    if (expired.dispatchers.length + expired.targets.length === 0) return;
    void proposeExpiry(expired);
  });
}

/**
 * Restarts the lease period after a gap in the proof of leadership, because reports may have gone
 * to another replica meanwhile.
 */
function trackLeadership(
  leadership: ProvedLeadership | undefined,
  { role, term, leadershipProvedAt }: LogStatus,
  now: Milliseconds,
): ProvedLeadership | undefined {
  if (role !== ReplicaRole.Leader || leadershipProvedAt === undefined) {
    return undefined;
  }
  if (now - leadershipProvedAt > maximumProofAge) return undefined;
  if (leadership?.term === term) return leadership;
  return { term, since: now, firstSeen: new Map() };
}

function findExpiredRuns(
  options: ExpiryOptions,
  leadership: ProvedLeadership,
): ExpiredRuns {
  const { roster } = options.state;
  const now = options.timers.now();
  return {
    dispatchers: [...roster.dispatchers.values()]
      .filter(
        run =>
          now - computeHeardAt(options, run, leadership) >= registrationLease,
      )
      .map(composeDispatcherRegistration),
    targets: findSilentTargets(options, now),
  };
}

function recordRegistrations(
  { firstSeen }: ProvedLeadership,
  { roster }: ExpiryOptions['state'],
  now: Milliseconds,
): void {
  const registered = new Set<string>();
  for (const run of roster.dispatchers.values()) {
    const key = composeRegistrationKey(run);
    registered.add(key);
    if (!firstSeen.has(key)) firstSeen.set(key, now);
  }
  for (const key of firstSeen.keys()) {
    if (!registered.has(key)) firstSeen.delete(key);
  }
}

/** A dispatcher without a report counts as heard when this leader first saw its registration. */
function computeHeardAt(
  { inForce }: ExpiryOptions,
  run: RegisteredDispatcher,
  leadership: ProvedLeadership,
): Milliseconds {
  const seenAt =
    leadership.firstSeen.get(composeRegistrationKey(run)) ?? leadership.since;
  const report = inForce.find(run.dispatcherId);
  if (report?.dispatcher.incarnation !== run.incarnation) return seenAt;
  return Math.max(report.receivedAt, seenAt);
}

/**
 * Lists the target runs that every registered dispatcher reports as silent. A dispatcher without a
 * current report may still hear them, so then no target expires.
 */
function findSilentTargets(
  { state, inForce }: ExpiryOptions,
  now: Milliseconds,
): readonly TargetRegistration[] {
  const { dispatchers, targets } = state.roster;
  const reports = [...dispatchers.values()].map(run => {
    const report = inForce.find(run.dispatcherId);
    return report?.dispatcher.incarnation === run.incarnation
      ? report
      : undefined;
  });
  const silentSets = reports.map(report => listSilentTargets(report, now));
  const [first, ...others] = silentSets;
  if (first === undefined || first.size === 0) return [];
  return [...targets.values()]
    .filter(target => {
      const key = composeTargetKey(target);
      return first.has(key) && others.every(silent => silent.has(key));
    })
    .map(composeTargetRegistration);
}

function listSilentTargets(
  report: ReceivedReport | undefined,
  now: Milliseconds,
): ReadonlySet<string> {
  if (report === undefined) return new Set();
  if (now - report.receivedAt > maximumReportAgeMilliseconds) return new Set();
  return new Set((report.silentTargets ?? []).map(composeTargetKey));
}

function composeRegistrationKey(run: RegisteredDispatcher): string {
  return `${composeDispatcherKey(run)} ${String(run.registeredAt)}`;
}

function composeDispatcherRegistration({
  dispatcherId,
  incarnation,
  registeredAt,
}: RegisteredDispatcher): DispatcherRegistration {
  return { dispatcherId, incarnation, registeredAt };
}

function composeTargetRegistration({
  targetId,
  incarnation,
  registeredAt,
}: TargetRecord): TargetRegistration {
  return { targetId, incarnation, registeredAt };
}
