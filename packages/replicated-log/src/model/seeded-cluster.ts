/** Cluster whose seeds decide which hosts found the log. Some seeds have no disk. */
import { createRandomSource } from '@cranberryturn/random';
import type { Milliseconds, ReplicaId } from '@cranberryturn/types';

import { StartKind, type ChooseFounders, type LogStart } from '../log-types.js';
import { PeerMessageKind, PeerReplyKind } from '../ports/peer-link.js';
import { ModelCluster, smallTuning } from './model-cluster.js';
import { ModelHost } from './model-host.js';

const seedCount = 3;
const maximumStartDelay: Milliseconds = 300;
const maximumLateStart: Milliseconds = 5_000;
const incompleteFoundingDelay: Milliseconds = 2_000;
const leaderSettlingTime: Milliseconds = 2_000;
const witnessCount = 2;

/** Which hosts are the seeds, sorted, and when each host starts. */
export interface SeededLayout {
  readonly seeds: readonly ReplicaId[];
  /** A host that starts long after the others. */
  readonly late: ReplicaId | undefined;
}

/** Draws from a source of its own, so that the operations of a run do not depend on it. */
function drawLayout(size: number, seed: number): SeededLayout {
  const random = createRandomSource(seed);
  const hosts = Array.from({ length: size }, (_, number) => nameHost(number));
  const all = [...hosts, ...listWitnesses()];
  const seeds: ReplicaId[] = [];
  while (seeds.length < seedCount)
    seeds.push(...all.splice(random.below(all.length), 1));
  const hasLateHost = random.below(3) === 0;
  seeds.sort();
  return { seeds, late: hasLateHost ? hosts[random.below(size)] : undefined };
}

/** Hosts with a disk, as in every cluster, and seeds without one. */
export class SeededCluster extends ModelCluster {
  /** Hosts without a disk. They take part in the founding only. */
  readonly witnesses: readonly ModelHost[];
  readonly #layout: SeededLayout;

  constructor(size: number, seed: number, layout = drawLayout(size, seed)) {
    super(size, seed, smallTuning, host => composeStart(layout, host, true));
    this.#layout = layout;
    this.environment.chooseFounders = chooseFounders(size);
    this.witnesses = listWitnesses().map(
      name =>
        new ModelHost(
          this.environment,
          name,
          composeStart(layout, name, false),
        ),
    );
  }

  override open(): void {
    for (const host of [...this.hosts, ...this.witnesses]) {
      const isLate = host.name === this.#layout.late;
      if (isLate) this.replacing.add(host);
      const latest = isLate ? maximumLateStart : maximumStartDelay;
      this.timers.after(this.random.below(latest), () => {
        host.open();
      });
    }
    for (const host of this.hosts) void this.makeVoter(host);
  }

  /** Kills the process of a host without a disk, which forgets what it has answered. */
  crashWitness(number: number): void {
    const witness = this.witnesses[Math.abs(number) % this.witnesses.length];
    if (witness?.isRunning !== true) return;
    witness.wipe();
    witness.open();
  }

  override loseDisk(host: ModelHost): void {
    super.loseDisk(host);
    host.joinOnNextStart();
  }

  /** An identity belongs to its folder, so that no host starts again under the old one. */
  override wipeUnderOldIdentity(host: ModelHost): void {
    this.replaceHost(host);
  }

  override canLoseDisk(host: ModelHost): boolean {
    return host.hasStarted && super.canLoseDisk(host);
  }

  override async recoverAndCheck(): Promise<void> {
    for (const witness of this.witnesses) witness.open();
    this.repair();
    // A leader without a majority steps down meanwhile.
    await this.timers.advance(leaderSettlingTime);
    await this.tickUntil(() => this.leader() !== undefined);
    if (this.leader() === undefined && (await this.#isBeyondTolerance())) {
      this.stop();
      return;
    }
    await this.checkRecovered();
  }

  override stop(): void {
    super.stop();
    for (const witness of this.witnesses) witness.wipe();
  }

  async #countAnsweringSeeds(): Promise<number> {
    const { seeds } = this.#layout;
    const answers = await Promise.all(
      [...this.hosts, ...this.witnesses]
        .filter(({ name }) => seeds.includes(name))
        .map(host => isAnswering(host, seeds)),
    );
    return answers.filter(Boolean).length;
  }

  /**
   * Whether a majority of the seeds was lost before a founding member learned of the decision, or a majority of the
   * founding members lost their disks, which takes one more host that was missing when they were chosen.
   */
  async #isBeyondTolerance(): Promise<boolean> {
    const { founders } = this.invariants;
    if (founders === undefined)
      return (await this.#countAnsweringSeeds()) * 2 <= seedCount;
    const intact = this.hosts.filter(
      ({ replicaId }) =>
        replicaId !== undefined && founders.includes(replicaId),
    );
    const isIncomplete = founders.length < this.hosts.length;
    return isIncomplete && intact.length * 2 <= founders.length;
  }
}

/** Asks a seed to take part in a ballot before any other, which changes nothing. */
async function isAnswering(
  { name, log }: ModelHost,
  seeds: readonly ReplicaId[],
): Promise<boolean> {
  const reply = await log?.handlePeerMessage('', {
    kind: PeerMessageKind.PrepareFounding,
    to: name,
    term: 0,
    seeds,
    ballot: { round: 0, proposer: '' },
  });
  return reply?.kind === PeerReplyKind.SeedAnswer;
}

function composeStart(
  { seeds }: SeededLayout,
  host: ReplicaId,
  hasDisk: boolean,
): LogStart {
  return {
    kind: StartKind.Seeded,
    host,
    address: host,
    seeds,
    hasDisk,
    isFirstStart: true,
  };
}

function nameHost(number: number): ReplicaId {
  return `replica-${String(number)}`;
}

function listWitnesses(): ReplicaId[] {
  return Array.from(
    { length: witnessCount },
    (_, number) => `witness-${String(number)}`,
  );
}

/** As control does it: all hosts at once, or after a delay as many as outlast the loss of the others. */
function chooseFounders(size: number): ChooseFounders {
  return (candidates, waited) => {
    const isEnough =
      waited >= incompleteFoundingDelay && candidates.length > size / 2;
    return candidates.length >= size || isEnough ? candidates : [];
  };
}
