/**
 * Founds a log whose founding members no setting names. The seeds, which need no disk, decide once and by majority
 * which hosts with a disk found it. Each host with a disk may propose; a proposal that may have been decided is repeated.
 */
import { sleep } from '@cranberryturn/timers';
import type { Milliseconds, ReplicaId } from '@cranberryturn/types';

import {
  FoundingStep,
  type ChooseFounders,
  type FoundingStatus,
} from '../log-types.js';
import type { Member } from '../members.js';
import {
  PeerMessageKind,
  PeerReplyKind,
  type AcceptedFounders,
  type Ballot,
  type FoundedMessage,
  type PeerReply,
  type SeedAnswer,
  type SeedMessage,
} from '../ports/peer-link.js';
import type { FoundingRecord } from '../storage/identity.js';
import {
  findDecision,
  findLatestAccepted,
  isBallot,
  isMajority,
} from './ballots.js';
import { FoundingSeed } from './founding-seed.js';
import { callPeer } from './peer-calls.js';
import { stoppedReply } from './replies.js';
import type { Replica } from './replica.js';
import type { StoredIdentity } from './stored-identity.js';

/** Longer than a ballot with two syncs takes, so that hosts that start together do not interrupt each other. */
const turnInterval: Milliseconds = 200;
const announcementPause: Milliseconds = 200;
/** A host that joins a running group hears from its leader within this time. */
const joinDelay: Milliseconds = 2_000;

type SeedRequest =
  | {
      readonly kind: PeerMessageKind.RegisterFounder;
      readonly candidate: Member;
    }
  | { readonly kind: PeerMessageKind.PrepareFounding; readonly ballot: Ballot }
  | ({ readonly kind: PeerMessageKind.AcceptFounding } & AcceptedFounders);

/** The part of one replica in the founding. */
export class Founding {
  readonly #replica: Replica;
  readonly #stored: StoredIdentity;
  readonly #seed: FoundingSeed;
  readonly #chooseFounders: ChooseFounders;
  readonly #createdAt: Milliseconds;
  /** Hosts with a disk that have registered at any time. */
  readonly #known = new Set<ReplicaId>();
  /** When the last of them was new. */
  #newestSince: Milliseconds;
  /** When it is the turn of this replica to propose. */
  #turnAt: Milliseconds | undefined;
  #status: FoundingStatus | undefined;

  constructor(
    replica: Replica,
    stored: StoredIdentity,
    chooseFounders: ChooseFounders = () => [],
  ) {
    this.#replica = replica;
    this.#stored = stored;
    this.#createdAt = replica.now();
    this.#newestSince = this.#createdAt;
    this.#seed = new FoundingSeed(replica, stored);
    this.#chooseFounders = chooseFounders;
  }

  get status(): FoundingStatus | undefined {
    return this.#status;
  }

  /** Takes part in the founding until its outcome is known or a leader has contacted this replica. */
  async run(): Promise<void> {
    const { founding } = this.#stored.identity;
    this.#useDecision();
    const candidate = founding?.candidate;
    if (founding === undefined || candidate === undefined) return;
    while (this.#isPending()) {
      await this.#advance(founding, candidate);
      if (this.#isPending()) await this.#replica.changed.wait(this.#pause());
    }
  }

  /** Answers as a seed. */
  answerAsSeed(message: SeedMessage): Promise<PeerReply> {
    return this.#seed.answer(message);
  }

  /** Takes over the decision that another founding member has learned. */
  async answerFounded({ members }: FoundedMessage): Promise<PeerReply> {
    if (!(await this.#adopt(members))) return stoppedReply(this.#replica);
    return { kind: PeerReplyKind.FoundedAnswer };
  }

  #isPending(): boolean {
    const { isStopped, store } = this.#replica;
    const isDecided = this.#stored.identity.founding?.decided !== undefined;
    return !isStopped && !isDecided && store.members.length === 0;
  }

  /** Shorter while the founding goes on. */
  #pause(): Milliseconds {
    const isWaiting = this.#status?.step !== FoundingStep.Proposes;
    const { heartbeatInterval } = this.#replica.tuning;
    return isWaiting ? heartbeatInterval * 2 : heartbeatInterval;
  }

  async #advance(record: FoundingRecord, candidate: Member): Promise<void> {
    const { seeds } = record;
    const answers = await this.#askSeeds(seeds, {
      kind: PeerMessageKind.RegisterFounder,
      candidate,
    });
    const decided = findDecision(answers, seeds.length);
    if (decided !== undefined) {
      await this.#adopt(decided);
      return;
    }
    const candidates = listCandidates(answers);
    const report = (step: FoundingStep): void => {
      this.#report({
        step,
        seeds: seeds.length,
        answering: answers.length,
        hosts: candidates.map(one => one.replicaId),
      });
    };
    if (!isMajority(answers.length, seeds.length)) {
      const age = this.#replica.now() - this.#createdAt;
      if (age >= joinDelay) report(FoundingStep.AwaitsSeeds);
      return;
    }
    const now = this.#replica.now();
    if (candidates.some(one => !this.#known.has(one.replicaId)))
      this.#newestSince = now;
    for (const one of candidates) this.#known.add(one.replicaId);
    const waited = now - this.#newestSince;
    const founders = this.#chooseFounders(candidates, waited);
    if (founders.length === 0) {
      report(FoundingStep.AwaitsHosts);
      return;
    }
    report(FoundingStep.Proposes);
    const position = candidates.findIndex(
      one => one.replicaId === candidate.replicaId,
    );
    this.#turnAt ??= now + Math.max(0, position) * turnInterval;
    if (now < this.#turnAt) return;
    const pause = turnInterval * (1 + candidates.length);
    this.#turnAt = now + pause * this.#replica.dependencies.random.fraction();
    await this.#propose(record, founders, answers);
  }

  /** Runs one ballot, in a round above that of any ballot in which a majority of the seeds took part. */
  async #propose(
    { seeds }: FoundingRecord,
    founders: readonly Member[],
    answers: readonly SeedAnswer[],
  ): Promise<void> {
    const rounds = answers.map(({ promised }) => promised?.round ?? 0);
    const { replicaId } = this.#replica;
    const ballot = { round: Math.max(0, ...rounds) + 1, proposer: replicaId };
    const prepared = await this.#askSeeds(seeds, {
      kind: PeerMessageKind.PrepareFounding,
      ballot,
    });
    const promises = prepared.filter(({ promised }) =>
      isBallot(promised, ballot),
    );
    if (!isMajority(promises.length, seeds.length)) return;
    const members = findLatestAccepted(promises)?.members ?? founders;
    const accepted = await this.#askSeeds(seeds, {
      kind: PeerMessageKind.AcceptFounding,
      ballot,
      members,
    });
    const decided = findDecision(accepted, seeds.length);
    if (decided !== undefined) await this.#adopt(decided);
  }

  /** Resolves with false when the decision could not be stored. */
  async #adopt(members: readonly Member[]): Promise<boolean> {
    const isStored = await this.#stored.change(identity => {
      const { founding } = identity;
      if (founding === undefined || founding.decided !== undefined)
        return identity;
      return { ...identity, founding: { ...founding, decided: members } };
    });
    if (!isStored || this.#replica.isStopped) return false;
    this.#useDecision();
    return true;
  }

  /** A replica that is no founding member joins them. It may be the only one that knows them. */
  #useDecision(): void {
    const { replicaId, founding } = this.#stored.identity;
    if (founding?.decided === undefined) return;
    const { decided, seeds } = founding;
    const hosts = decided.map(member => member.replicaId);
    const answering = this.#status?.answering ?? 0;
    const step = FoundingStep.Decided;
    const isNew = this.#status?.step !== step;
    this.#report({ step, seeds: seeds.length, answering, hosts });
    if (!isNew) return;
    this.#replica.store.setInitialMembers(decided);
    this.#replica.changed.notify();
    for (const host of hosts)
      if (host !== replicaId) void this.#announce(host, decided);
  }

  /**
   * Tells a founding member, which the seeds may not be able to tell any more. It cannot vote before: a leader that is lost
   * before it has reached all of them would leave too few voters.
   */
  async #announce(to: ReplicaId, members: readonly Member[]): Promise<void> {
    const replica = this.#replica;
    const isMember = (): boolean =>
      replica.store.members.some(({ replicaId }) => replicaId === to);
    while (!replica.isStopped && isMember()) {
      const reply = await callPeer(replica, to, {
        kind: PeerMessageKind.Founded,
        to,
        term: replica.term,
        members,
      });
      if (reply.isOk() && isFinal(reply.value)) return;
      await sleep(replica.dependencies.timers, announcementPause);
    }
  }

  /** Resolves with the answers of the seeds that take part. */
  async #askSeeds(
    seeds: readonly ReplicaId[],
    request: SeedRequest,
  ): Promise<readonly SeedAnswer[]> {
    const { self } = this.#stored.identity.founding ?? {};
    const { term } = this.#replica;
    const replies = await Promise.all(
      seeds.map(async to => {
        const message = { ...request, to, term, seeds };
        if (to === self) return await this.#seed.answer(message);
        const reply = await callPeer(this.#replica, to, message);
        return reply.unwrapOr(undefined);
      }),
    );
    return replies.filter(reply => reply?.kind === PeerReplyKind.SeedAnswer);
  }

  #report(status: FoundingStatus): void {
    if (JSON.stringify(status) === JSON.stringify(this.#status)) return;
    this.#status = status;
    this.#replica.hooks.onFoundingChanged(status);
  }
}

/** Whether a founding member knows the decision, or has lost its identity with its disk. */
function isFinal(reply: PeerReply): boolean {
  if (reply.kind === PeerReplyKind.Refused) return reply.wrongIdentity;
  return reply.kind === PeerReplyKind.FoundedAnswer;
}

/** Lists the registered hosts in the order of their identities, one for each address. */
function listCandidates(answers: readonly SeedAnswer[]): readonly Member[] {
  const byAddress = new Map(
    answers
      .flatMap(({ candidates }) => candidates)
      .map(candidate => [candidate.address, candidate]),
  );
  return [...byAddress.values()].sort((left, right) =>
    left.replicaId < right.replicaId ? -1 : 1,
  );
}
