/** The fixture of cluster tests: starts a cluster on a manual clock and wraps common calls. */
import { type ConfirmView, type PlanView } from '@cranberryturn/configuration';
import type { ControlClient } from '@cranberryturn/control-client';
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import {
  type ClaimOutcomeKind,
  type ClaimRequest,
  IntentKind,
  type Milliseconds,
} from '@cranberryturn/types';
import type { ExecutionContext } from 'ava';

import {
  AdministrationMethod,
  type AdministrationReply,
  AdministrationReplyKind,
} from '../administration-calls.js';
import type { ControlNode } from '../control-node.js';
import { planChange } from '../plan-change.js';
import {
  type ControlCluster,
  type ControlClusterOptions,
  createControlCluster,
} from './control-cluster.js';

/** Seed of the cluster in every test. */
export const seed = 20_261_203;
/** Time within which a leader is elected. */
export const electionMilliseconds: Milliseconds = 2_000;

/** A cluster and its manual clock. */
export interface ClusterFixture {
  readonly timers: ManualTimerService;
  readonly cluster: ControlCluster;
}

/** Starts a cluster of three replicas by default and waits until a leader is elected. */
export async function startCluster(
  options: Partial<ControlClusterOptions> = {},
): Promise<ClusterFixture> {
  const timers = createManualTimerService();
  const cluster = createControlCluster({ timers, seed, size: 3, ...options });
  const size = options.size ?? 3;
  const starts = Array.from({ length: size }, (_, position) =>
    cluster.start(`c${String(position + 1)}`),
  );
  await timers.advance(electionMilliseconds);
  await Promise.all(starts);
  await timers.advance(electionMilliseconds);
  return { timers, cluster };
}

/** Advances the clock until the work settles; throws after `limit`. */
export async function settleWithin<Value>(
  timers: ManualTimerService,
  work: PromiseLike<Value>,
  limit: Milliseconds = 10_000,
): Promise<Value> {
  const done: { value?: { readonly result: Value } } = {};
  void work.then(result => {
    done.value = { result };
  });
  const end = timers.now() + limit;
  while (done.value === undefined && timers.now() < end) {
    await timers.advance(10);
  }
  if (done.value === undefined)
    throw new Error('The work did not settle in time.');
  return done.value.result;
}

/** Composes a claim request; the submission identifier follows from job and dispatcher. */
export function composeClaim(
  jobId: string,
  dispatcherId: string,
): ClaimRequest {
  return {
    team: 'planning',
    jobId,
    service: 'register-svc',
    digest: 'aa',
    owner: { dispatcherId, incarnation: 'run-1' },
    submissionId: `${dispatcherId}-${jobId}`,
  };
}

/**
 * Claims a job and returns the kind of the outcome; throws when control does not settle the call.
 */
export async function claimJob(
  { timers }: ClusterFixture,
  client: ControlClient,
  jobId: string,
  dispatcherId: string,
): Promise<ClaimOutcomeKind> {
  const claimed = await settleWithin(
    timers,
    client.claims.claimJob(composeClaim(jobId, dispatcherId)),
  );
  return claimed._unsafeUnwrap().kind;
}

/** Plans the quota of a team, a change that conflicts only through its base version. */
export async function planQuotaChange(
  { timers }: ClusterFixture,
  node: ControlNode,
  team: string,
): Promise<PlanView> {
  const reply = await settleWithin(
    timers,
    node.administer({
      method: AdministrationMethod.Plan,
      input: { kind: IntentKind.SetQuota, team: { team, weight: 1 } },
    }),
  );
  if (reply.kind !== AdministrationReplyKind.Done) {
    throw new Error(reply.refusal.error);
  }
  return reply.view as PlanView;
}

/** Confirms a plan at the given replica. */
export function confirmPlan(
  { timers }: ClusterFixture,
  node: ControlNode,
  planId: string,
  requestId: string,
  operator = 'linh',
): Promise<AdministrationReply> {
  return settleWithin(
    timers,
    node.administer({
      method: AdministrationMethod.Confirm,
      request: { planId, requestId, operator },
    }),
  );
}

/** Returns the leader; throws when there is none. */
export function requireLeader({ cluster }: ClusterFixture): ControlNode {
  const leader = cluster.leader();
  if (leader === undefined) throw new Error('The cluster has no leader.');
  return leader;
}

/** Returns the identifier of a replica, which for a founding host is the name of the host. */
export function getReplicaId(node: ControlNode): string {
  return node.log.status().replicaId;
}

/** Returns the configuration version at a replica. */
export function getConfigurationVersion(node: ControlNode): number {
  return node.state.configuration.configuration.version;
}

/** Confirms a number of changes and returns the last version. */
export async function makeChanges(
  fixture: ClusterFixture,
  times: number,
): Promise<number> {
  let version = 0;
  for (let number = 0; number < times; number += 1) {
    const name = `team-${String(number)}-${String(fixture.timers.now())}`;
    const plan = planChange(requireLeader(fixture).state, {
      kind: IntentKind.SetQuota,
      team: { team: name, weight: 1 },
    })._unsafeUnwrap();
    const reply = await confirmPlan(
      fixture,
      requireLeader(fixture),
      plan.planId,
      `r-${name}`,
    );
    if (reply.kind !== AdministrationReplyKind.Done) {
      throw new Error(reply.refusal.error);
    }
    version = (reply.view as ConfirmView).version;
  }
  return version;
}

/** Asserts the kind of a refusal and returns its error sentence. */
export function assertRefused(
  t: ExecutionContext,
  reply: AdministrationReply,
  kind: AdministrationReplyKind,
): string {
  t.is(reply.kind, kind);
  return reply.kind === AdministrationReplyKind.Done ? '' : reply.refusal.error;
}
