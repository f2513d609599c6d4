/** What the tests of a cluster share: its start, its clock and short calls. */
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

/** Seed of every cluster. */
export const seed = 20_261_203;
/** Time in which a leader is elected. */
export const electionMilliseconds: Milliseconds = 2_000;

/** A cluster and its clock. */
export interface ClusterFixture {
  readonly timers: ManualTimerService;
  readonly cluster: ControlCluster;
}

/** Starts a cluster that has a leader. */
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

/** Moves time until the work is done, at most `limit`. */
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
  if (done.value === undefined) throw new Error('not settled in time');
  return done.value.result;
}

/** Composes a claim. */
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

/** Claims a job and returns how that ended. */
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

/** Plans a change that meets no other. */
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

/** Confirms a plan. */
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

/** The leader; throws when there is none. */
export function requireLeader({ cluster }: ClusterFixture): ControlNode {
  const leader = cluster.leader();
  if (leader === undefined) throw new Error('no leader');
  return leader;
}

/** Name of a replica. */
export function getReplicaId(node: ControlNode): string {
  return node.log.status().replicaId;
}

/** Version of the configuration at a replica. */
export function getConfigurationVersion(node: ControlNode): number {
  return node.state.configuration.configuration.version;
}

/** Makes a number of changes and returns the last version. */
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

/** Checks how a call was refused and returns the sentence. */
export function assertRefused(
  t: ExecutionContext,
  reply: AdministrationReply,
  kind: AdministrationReplyKind,
): string {
  t.is(reply.kind, kind);
  return reply.kind === AdministrationReplyKind.Done ? '' : reply.refusal.error;
}
