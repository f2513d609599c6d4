/** Runs a sequence of operations against a model cluster. */
import type { Milliseconds } from '@cranberryturn/types';

import { ModelCluster } from './model-cluster.js';
import type { ModelHost } from './model-host.js';
import { OperationKind, type Operation } from './operations.js';
import { SeededCluster } from './seeded-cluster.js';

const electionLimitMilliseconds: Milliseconds = 1_500;
const electionStepMilliseconds: Milliseconds = 10;

/** The cluster that a sequence runs on. */
export interface ModelRun {
  readonly replicas: number;
  readonly seed: number;
  readonly beginning: ModelBeginning;
}

/** When the operations begin. */
export enum ModelBeginning {
  /** Once the founding members have a leader. */
  Group = 'in a group',
  /** While founding members that are named found the log. */
  Founding = 'from their founding on',
  /** While the seeds decide who founds the log. */
  Seeds = 'from the decision of the seeds on',
}

/** Runs one sequence and returns the violated invariants. Deterministic for the same run and operations. */
export async function runOperations(
  { replicas, seed, beginning }: ModelRun,
  operations: readonly Operation[],
): Promise<readonly string[]> {
  const cluster =
    beginning === ModelBeginning.Seeds
      ? new SeededCluster(replicas, seed)
      : new ModelCluster(replicas, seed);
  if (beginning === ModelBeginning.Group) await cluster.start();
  else cluster.open();
  for (const operation of operations) {
    runOperation(cluster, operation);
    if (operation.kind === OperationKind.Tick) {
      await cluster.timers.advance(operation.amount);
    } else if (operation.kind === OperationKind.Depose) {
      await deposeLeader(cluster, operation);
    } else if (operation.amount % 2 === 0) {
      await cluster.timers.settle();
    }
    if (cluster.invariants.violations.length > 0) break;
  }
  if (cluster.invariants.violations.length === 0) {
    await cluster.recoverAndCheck();
  } else {
    cluster.stop();
  }
  return cluster.invariants.violations;
}

function runOperation(cluster: ModelCluster, operation: Operation): void {
  const { amount } = operation;
  const host = chooseHost(cluster, operation.host);
  const other = chooseHost(cluster, operation.other);
  switch (operation.kind) {
    case OperationKind.Propose:
      proposeEverywhere(cluster, amount);
      return;
    case OperationKind.Confirm:
      for (const log of leadingLogs(cluster)) cluster.confirm(log);
      return;
    case OperationKind.Tick:
    case OperationKind.Depose:
      return;
    case OperationKind.Crash:
      if (host.isRunning) host.crash();
      return;
    case OperationKind.CrashWithin:
      if (host.isRunning) host.crashWithin(amount);
      return;
    case OperationKind.CrashAll:
      for (const any of cluster.hosts) if (any.isRunning) any.crash();
      for (const any of cluster.hosts) any.open();
      return;
    case OperationKind.Restart:
      for (const any of cluster.hosts) any.open();
      return;
    case OperationKind.Isolate:
      cluster.isolate(host);
      return;
    case OperationKind.CutOneWay:
      cutOneWay(cluster, host, other);
      return;
    case OperationKind.Heal:
      cluster.network.heal();
      return;
    case OperationKind.LinkFaults:
      cluster.network.setFaults({
        dropShare: 0.1,
        duplicateShare: 0.1,
        maximumDelay: amount,
      });
      return;
    case OperationKind.SlowDisk:
      host.disk.setSyncDelay(amount);
      return;
    case OperationKind.SlowAllDisks:
      for (const any of cluster.hosts) any.disk.setSyncDelay(amount);
      return;
    case OperationKind.HangDisk:
      host.disk.hang();
      return;
    case OperationKind.FailSyncs:
      host.disk.failSyncs();
      return;
    case OperationKind.RefuseWrites:
      host.disk.refuseWrites(amount);
      return;
    case OperationKind.Replace:
      if (cluster.canLoseDisk(host)) cluster.replaceHost(host);
      return;
    case OperationKind.WipeUnderOldIdentity:
      if (cluster.canLoseDisk(host)) cluster.wipeUnderOldIdentity(host);
      return;
    case OperationKind.CrashWitness:
      if (cluster instanceof SeededCluster)
        cluster.crashWitness(operation.other);
      return;
    case OperationKind.Transfer:
      for (const log of leadingLogs(cluster)) void log.transferLeadership();
  }
}

async function deposeLeader(
  cluster: ModelCluster,
  operation: Operation,
): Promise<void> {
  const deposed = cluster.findLeadingHost();
  cluster.network.heal();
  if (deposed?.replicaId === undefined) {
    await cluster.timers.advance(operation.amount);
    return;
  }
  cluster.isolate(deposed);
  proposeEverywhere(cluster, operation.other);
  for (const any of cluster.hosts) any.open();
  const end = cluster.timers.now() + electionLimitMilliseconds;
  const hasSuccessor = (): boolean =>
    cluster.hosts.some(
      host => host !== deposed && host.leadingLog() !== undefined,
    );
  while (!hasSuccessor() && cluster.timers.now() < end) {
    await cluster.timers.advance(electionStepMilliseconds);
  }
  await cluster.timers.advance(operation.amount);
}

function chooseHost(cluster: ModelCluster, number: number): ModelHost {
  const leading = number === -1 ? cluster.findLeadingHost() : undefined;
  const chosen =
    leading ?? cluster.hosts[Math.abs(number) % cluster.hosts.length];
  if (chosen === undefined) throw new Error('The cluster has no hosts.');
  return chosen;
}

function leadingLogs(
  cluster: ModelCluster,
): readonly NonNullable<ModelHost['log']>[] {
  return cluster.hosts
    .map(host => host.leadingLog())
    .filter(log => log !== undefined);
}

function proposeEverywhere(cluster: ModelCluster, amount: number): void {
  for (const log of leadingLogs(cluster)) {
    for (let number = 0; number <= amount; number += 1) cluster.propose(log);
  }
}

function cutOneWay(
  cluster: ModelCluster,
  host: ModelHost,
  other: ModelHost,
): void {
  if (host.replicaId === undefined || other.replicaId === undefined) return;
  cluster.network.cutOneWay(host.replicaId, other.replicaId);
}
