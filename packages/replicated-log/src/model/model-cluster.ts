/** Cluster of model hosts with a faulty network and a manual clock. */
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import {
  createManualTimerService,
  sleep,
  type ManualTimerService,
} from '@cranberryturn/timers';
import type { Milliseconds, ReplicaId } from '@cranberryturn/types';

import {
  createFakePeerNetwork,
  type FakePeerNetwork,
} from '../fakes/fake-peer-network.js';
import {
  hasFailedForGood,
  StartKind,
  type LogStart,
  type LogTuning,
  type ReplicatedLog,
} from '../log-types.js';
import { MemberChangeKind, MemberRole, type Member } from '../members.js';
import { LogInvariants } from './log-invariants.js';
import { ModelHost, type ModelEnvironment } from './model-host.js';

const oldIdentityMilliseconds: Milliseconds = 2_000;
const retryIntervalMilliseconds: Milliseconds = 150;
const recoveryStepMilliseconds: Milliseconds = 200;
const recoveryLimitMilliseconds: Milliseconds = 30_000;

/** Small limits, so that snapshots, compaction and chunked transfers happen within a few entries. */
export const smallTuning: Partial<LogTuning> = {
  maximumSegmentBytes: 300,
  maximumBatchBytes: 1,
  snapshotEntries: 5,
  trailingEntries: 2,
  snapshotChunkBytes: 64,
  proposeTimeout: 2_000,
};

/** Composes how a host starts for the first time. */
export type ComposeStart = (
  host: ReplicaId,
  members: readonly Member[],
) => LogStart;

const composeBootstrapStart: ComposeStart = (replicaId, members) => ({
  kind: StartKind.Bootstrap,
  replicaId,
  members,
});

/** Hosts, network, clock and invariants of one run. */
export class ModelCluster {
  readonly timers: ManualTimerService = createManualTimerService();
  readonly random: RandomSource;
  readonly network: FakePeerNetwork;
  readonly invariants = new LogInvariants();
  readonly hosts: ModelHost[];
  protected readonly environment: ModelEnvironment;
  /** Hosts whose previous replica is being replaced. */
  readonly replacing = new Set<ModelHost>();
  #isStopped = false;
  #nextCommand = 1;

  constructor(
    size: number,
    seed: number,
    tuning: Partial<LogTuning> = smallTuning,
    composeStart: ComposeStart = composeBootstrapStart,
  ) {
    this.random = createRandomSource(seed);
    this.network = createFakePeerNetwork(this.timers, this.random);
    const { timers, random, network, invariants } = this;
    this.environment = { timers, random, network, invariants, tuning };
    const members = foundingMembers(size);
    this.hosts = members.map(
      ({ replicaId }) =>
        new ModelHost(
          this.environment,
          replicaId,
          composeStart(replicaId, members),
        ),
    );
  }

  /** Whether a further disk may be lost, so that a quorum keeps its data. */
  canLoseDisk(host: ModelHost): boolean {
    const toleratedLosses = Math.ceil(this.hosts.length / 2) - 1;
    return this.replacing.size < toleratedLosses && !this.replacing.has(host);
  }

  /** Starts all hosts, which found the log. */
  open(): void {
    for (const host of this.hosts) host.open();
  }

  /** Starts all hosts and waits for a leader. */
  async start(): Promise<void> {
    this.open();
    await this.tickUntil(() => this.leader() !== undefined);
  }

  /** Log of the replica that claims leadership in the highest term. */
  leader(): ReplicatedLog<number> | undefined {
    return this.hosts
      .map(host => host.leadingLog())
      .filter(log => log !== undefined)
      .sort((left, right) => right.status().term - left.status().term)[0];
  }

  /** Host of the leader; undefined when there is no leader. */
  findLeadingHost(): ModelHost | undefined {
    const leader = this.leader();
    return this.hosts.find(host => host.log === leader && host.log);
  }

  /** Proposes a new command at one replica and checks the result when it arrives. */
  propose(log: ReplicatedLog<number>): string {
    const text = `command ${String(this.#nextCommand)}`;
    this.#nextCommand += 1;
    void log.propose(Buffer.from(text)).match(
      result => {
        this.invariants.recordAcknowledged(text, result.index);
      },
      error => {
        const isRejected = 'mayHaveHappened' in error && !error.mayHaveHappened;
        if (isRejected) this.invariants.recordRejected(text);
      },
    );
    return text;
  }

  /** Requests a leadership proof from a replica and checks the proof when it arrives. */
  confirm(log: ReplicatedLog<number>): void {
    const before = this.invariants.highestAcknowledged;
    const { replicaId } = log.status();
    void log.confirmLeadership().map(proof => {
      this.invariants.checkReadIndex(replicaId, proof.readIndex, before);
    });
  }

  /** Wipes the disk of a host and replaces its replica with one under a new identity. */
  replaceHost(host: ModelHost): void {
    this.loseDisk(host);
    host.joinOnNextStart();
    host.open();
    this.replacing.add(host);
    void this.makeVoter(host);
  }

  /**
   * Restarts a host with an empty disk under its old identity, which must not vote, and replaces the
   * host later.
   */
  wipeUnderOldIdentity(host: ModelHost): void {
    this.loseDisk(host);
    host.open();
    this.replacing.add(host);
    this.timers.after(oldIdentityMilliseconds, () => {
      this.replaceHost(host);
    });
  }

  /** Ends the process of a host and wipes its disk. */
  loseDisk(host: ModelHost): void {
    host.wipe();
  }

  /** Partitions a host from all others, under all of its names. */
  isolate(host: ModelHost): void {
    for (const name of host.networkNames) this.network.isolate(name);
  }

  /** Advances time until `condition` holds. Resolves with false after `limit`. */
  async tickUntil(
    condition: () => boolean,
    limit: Milliseconds = recoveryLimitMilliseconds,
  ): Promise<boolean> {
    const end = this.timers.now() + limit;
    while (!condition()) {
      if (this.timers.now() >= end) return false;
      await this.timers.advance(recoveryStepMilliseconds);
    }
    return true;
  }

  /** Ends all faults, and restarts replicas that are stopped or have failed for good; the others recover by themselves. */
  repair(): void {
    this.network.heal();
    this.network.setFaults({
      dropShare: 0,
      duplicateShare: 0,
      maximumDelay: 0,
    });
    for (const host of this.hosts) {
      host.disk.repair();
      const status = host.log?.status();
      const hasFailed = status !== undefined && hasFailedForGood(status);
      const isOpen = host.isRunning && host.openError === undefined;
      if (isOpen && !hasFailed) continue;
      host.crash();
      host.open();
    }
  }

  /** Repairs everything, then checks that the log commits again and no acknowledged command was lost. */
  async recoverAndCheck(): Promise<void> {
    this.repair();
    await this.checkRecovered();
  }

  /** Checks that the log commits again and no acknowledged command was lost, then ends all processes. */
  protected async checkRecovered(): Promise<void> {
    const isReplaced = await this.tickUntil(() => this.replacing.size === 0);
    if (!isReplaced)
      this.invariants.recordStuck(
        'a host was not replaced within the recovery limit',
      );
    const hasCommitted = await this.#commitNewCommand();
    if (!hasCommitted)
      this.invariants.recordStuck(
        'no command was committed within the recovery limit',
      );
    const areAllCaughtUp = await this.tickUntil(() => this.#areAllCaughtUp());
    if (!areAllCaughtUp)
      this.invariants.recordStuck(
        'a replica did not catch up within the recovery limit',
      );
    for (const host of this.hosts) {
      this.invariants.checkState(host.name, host.stateMachine.texts);
    }
    this.stop();
  }

  /** Ends all processes. */
  stop(): void {
    this.#isStopped = true;
    for (const host of this.hosts) host.wipe();
  }

  async #commitNewCommand(): Promise<boolean> {
    const texts: string[] = [];
    const acknowledged = this.invariants.acknowledged();
    return await this.tickUntil(() => {
      const leader = this.leader();
      if (leader !== undefined) texts.push(this.propose(leader));
      return texts.some(text => acknowledged.has(text));
    });
  }

  #areAllCaughtUp(): boolean {
    const texts = this.invariants.acknowledged();
    return this.hosts.every(host =>
      [...texts].every(
        ([text, index]) => host.stateMachine.texts.get(index) === text,
      ),
    );
  }

  /** Makes the replica of a host a voter, and removes those that it replaces. */
  protected async makeVoter(host: ModelHost): Promise<void> {
    while (!this.#isStopped) {
      const leader = this.leader();
      const added = host.replicaId;
      const isDone =
        leader !== undefined &&
        added !== undefined &&
        (await runReplacementStep(leader, added, host.networkNames));
      if (isDone && host.replicaId === added) {
        this.replacing.delete(host);
        return;
      }
      await sleep(this.timers, retryIntervalMilliseconds);
    }
  }
}

/** Runs the next step of a replacement. Resolves with true when the replacement is complete. */
async function runReplacementStep(
  leader: ReplicatedLog<number>,
  added: ReplicaId,
  identities: readonly ReplicaId[],
): Promise<boolean> {
  const { members, commitIndex } = leader.status();
  const member = members.find(known => known.replicaId === added);
  if (member === undefined) {
    await leader.changeMembers({
      kind: MemberChangeKind.AddLearner,
      replicaId: added,
      address: '',
    });
    return false;
  }
  if (member.role === MemberRole.Learner) {
    await leader.changeMembers({
      kind: MemberChangeKind.Promote,
      replicaId: added,
    });
    return false;
  }
  const previous = members
    .map(({ replicaId }) => replicaId)
    .find(known => known !== added && identities.includes(known));
  if (previous !== undefined) {
    await leader.changeMembers({
      kind: MemberChangeKind.Remove,
      replicaId: previous,
    });
    return false;
  }
  const proof = await leader.confirmLeadership();
  return proof.isOk() && proof.value.readIndex >= commitIndex;
}

function foundingMembers(size: number): readonly Member[] {
  return Array.from({ length: size }, (_unused, number) => ({
    replicaId: `replica-${String(number)}`,
    role: MemberRole.Voter,
    address: '',
  }));
}
