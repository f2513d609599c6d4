/**
 * Reconciles the members of the log with the configured control hosts, one membership change at a
 * time.
 */
import type { Logger } from '@cranberryturn/logger';
import {
  type Member,
  type MemberChange,
  MemberChangeKind,
  MemberRole,
  type ReplicatedLog,
  ReplicaRole,
} from '@cranberryturn/replicated-log';
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type {
  ControlHostConfiguration,
  Milliseconds,
  ReplicaId,
} from '@cranberryturn/types';
import { formatAddress } from '@cranberryturn/wire';

import type { ControlState, EntryOutcome } from './control-state.js';

const checkIntervalMilliseconds: Milliseconds = 250;

/** The kinds of membership step. */
export enum MembershipStepKind {
  Change = 'change',
  /** The leader itself is to be removed: the next leader removes it after the transfer. */
  TransferLeadership = 'hand-over',
}

/** The next step towards the wanted members. */
export type MembershipStep =
  | { readonly kind: MembershipStepKind.Change; readonly change: MemberChange }
  | { readonly kind: MembershipStepKind.TransferLeadership };

/** Dependencies of the reconciliation. */
export interface ReconcileOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly log: ReplicatedLog<EntryOutcome>;
  readonly state: Pick<ControlState, 'configuration'>;
}

/** Starts the periodic reconciliation, which acts only while this replica leads. */
export function reconcileMembers(options: ReconcileOptions): TimerSubscription {
  let isChanging = false;
  const reconcile = async (): Promise<void> => {
    if (isChanging) return;
    isChanging = true;
    await applyNextStep(options);
    isChanging = false;
  };
  return options.timers.every(
    checkIntervalMilliseconds,
    () => void reconcile(),
  );
}

/**
 * Finds the next step. Replicas are added and promoted before others are removed, so that the quorum
 * never becomes smaller than needed.
 */
export function findMembershipStep(
  wanted: readonly ControlHostConfiguration[],
  members: readonly Member[],
  leader: ReplicaId,
): MembershipStep | undefined {
  if (wanted.length === 0) return undefined;
  const missing = wanted.find(host => !findMember(members, host.replicaId));
  if (missing !== undefined) {
    return {
      kind: MembershipStepKind.Change,
      change: {
        kind: MemberChangeKind.AddLearner,
        replicaId: missing.replicaId,
        address: formatAddress(missing.address),
      },
    };
  }
  const learner = wanted.find(
    host => findMember(members, host.replicaId)?.role === MemberRole.Learner,
  );
  if (learner !== undefined) {
    const { replicaId } = learner;
    const change = { kind: MemberChangeKind.Promote as const, replicaId };
    return { kind: MembershipStepKind.Change, change };
  }
  return findRemoval(wanted, members, leader);
}

function findRemoval(
  wanted: readonly ControlHostConfiguration[],
  members: readonly Member[],
  leader: ReplicaId,
): MembershipStep | undefined {
  const surplus = members.filter(
    member => !wanted.some(host => host.replicaId === member.replicaId),
  );
  const other = surplus.find(member => member.replicaId !== leader);
  if (other !== undefined) {
    const { replicaId } = other;
    const change = { kind: MemberChangeKind.Remove as const, replicaId };
    return { kind: MembershipStepKind.Change, change };
  }
  return surplus.length === 0
    ? undefined
    : { kind: MembershipStepKind.TransferLeadership };
}

async function applyNextStep({
  log,
  state,
  logger,
}: ReconcileOptions): Promise<void> {
  const { role, members, replicaId } = log.status();
  if (role !== ReplicaRole.Leader) return;
  const { controlHosts } = state.configuration.configuration;
  const step = findMembershipStep(controlHosts, members, replicaId);
  if (step === undefined) return;
  logger.info('control changes its members', { step });
  const applied =
    step.kind === MembershipStepKind.Change
      ? await log.changeMembers(step.change)
      : await log.transferLeadership();
  if (applied.isErr()) {
    logger.info('membership change not done; retrying', {
      step,
      error: applied.error,
    });
  }
}

function findMember(
  members: readonly Member[],
  replicaId: ReplicaId,
): Member | undefined {
  return members.find(member => member.replicaId === replicaId);
}
