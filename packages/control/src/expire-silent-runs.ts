/** Takes runs off the roster that nobody has heard for their lease. Only the leader decides. */
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
import { maximumProofAge, runLease } from '@cranberryturn/wire';

import type { OperationProposer } from './batch-operations.js';
import { OperationKind } from './control-operations.js';
import type { ControlState } from './control-state.js';
import type { InForceTable, ReceivedReport } from './in-force-table.js';

const checkInterval: Milliseconds = 1_000;
/** Age up to which a report tells what its dispatcher sees now. */
const currentReportAge: Milliseconds = 3_000;

/** What the task needs. */
export interface ExpiryOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly state: Pick<ControlState, 'roster'>;
  readonly status: () => LogStatus;
  readonly inForce: InForceTable;
  readonly proposer: OperationProposer;
}

interface ProvedLead {
  readonly term: Term;
  readonly since: Milliseconds;
  /** When this leader first saw each registration of a dispatcher. */
  readonly firstSeen: Map<string, Milliseconds>;
}

/** Starts the task. */
export function expireSilentRuns(options: ExpiryOptions): TimerSubscription {
  const { timers, logger, proposer } = options;
  let lead: ProvedLead | undefined;
  let busy = false;

  const propose = async (expired: ExpiredRuns): Promise<void> => {
    busy = true;
    logger.warn('silent runs leave the roster', { ...expired });
    const proposed = await proposer.submit({
      kind: OperationKind.ExpireRuns,
      expired,
    });
    if (proposed.isErr()) {
      logger.info('silent runs stay for now', { error: proposed.error });
    }
    busy = false;
  };

  return timers.every(checkInterval, () => {
    lead = continueLead(lead, options.status(), timers.now());
    if (lead === undefined) return;
    noteRegistrations(lead, options.state, timers.now());
    if (busy) return;
    if (timers.now() - lead.since < runLease) return;
    const expired = findExpiredRuns(options, lead);
    if (expired.dispatchers.length + expired.targets.length === 0) return;
    void propose(expired);
  });
}

/** A lead that could not be proved for a while starts anew: reports may have gone elsewhere meanwhile. */
function continueLead(
  lead: ProvedLead | undefined,
  { role, term, leadershipProvedAt }: LogStatus,
  now: Milliseconds,
): ProvedLead | undefined {
  if (role !== ReplicaRole.Leader || leadershipProvedAt === undefined) {
    return undefined;
  }
  if (now - leadershipProvedAt > maximumProofAge) return undefined;
  if (lead?.term === term) return lead;
  return { term, since: now, firstSeen: new Map() };
}

function findExpiredRuns(
  options: ExpiryOptions,
  lead: ProvedLead,
): ExpiredRuns {
  const { roster } = options.state;
  const now = options.timers.now();
  return {
    dispatchers: [...roster.dispatchers.values()]
      .filter(run => now - findHeardAt(options, run, lead) >= runLease)
      .map(nameDispatcher),
    targets: findSilentTargets(options, now),
  };
}

function noteRegistrations(
  { firstSeen }: ProvedLead,
  { roster }: ExpiryOptions['state'],
  now: Milliseconds,
): void {
  const registered = new Set<string>();
  for (const run of roster.dispatchers.values()) {
    const key = describeRegistration(run);
    registered.add(key);
    if (!firstSeen.has(key)) firstSeen.set(key, now);
  }
  for (const key of firstSeen.keys()) {
    if (!registered.has(key)) firstSeen.delete(key);
  }
}

/** A run without a report counts from the moment at which this leader first saw its registration. */
function findHeardAt(
  { inForce }: ExpiryOptions,
  run: RegisteredDispatcher,
  lead: ProvedLead,
): Milliseconds {
  const seenAt = lead.firstSeen.get(describeRegistration(run)) ?? lead.since;
  const report = inForce.find(run.dispatcherId);
  if (report?.dispatcher.incarnation !== run.incarnation) return seenAt;
  return Math.max(report.receivedAt, seenAt);
}

/** Runs that every dispatcher of the roster says it has not heard. One that is not heard itself may see them. */
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
  const silentSets = reports.map(report => listSilent(report, now));
  const [first, ...others] = silentSets;
  if (first === undefined || first.size === 0) return [];
  return [...targets.values()]
    .filter(target => {
      const key = composeTargetKey(target);
      return first.has(key) && others.every(silent => silent.has(key));
    })
    .map(nameTarget);
}

function listSilent(
  report: ReceivedReport | undefined,
  now: Milliseconds,
): ReadonlySet<string> {
  if (report === undefined) return new Set();
  if (now - report.receivedAt > currentReportAge) return new Set();
  return new Set((report.silentTargets ?? []).map(composeTargetKey));
}

function describeRegistration(run: RegisteredDispatcher): string {
  return `${composeDispatcherKey(run)} ${String(run.registeredAt)}`;
}

function nameDispatcher({
  dispatcherId,
  incarnation,
  registeredAt,
}: RegisteredDispatcher): DispatcherRegistration {
  return { dispatcherId, incarnation, registeredAt };
}

function nameTarget({
  targetId,
  incarnation,
  registeredAt,
}: TargetRecord): TargetRegistration {
  return { targetId, incarnation, registeredAt };
}
