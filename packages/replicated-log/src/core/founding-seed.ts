/** The part of a seed in the founding of a log: an acceptor of one decision, after single-decree Paxos. */
import type { Milliseconds } from '@cranberryturn/types';

import type { Member } from '../members.js';
import {
  PeerMessageKind,
  PeerReplyKind,
  type Ballot,
  type PeerReply,
  type SeedAnswer,
  type SeedMessage,
} from '../ports/peer-link.js';
import type { FoundingRecord } from '../storage/identity.js';
import { compareBallots } from './ballots.js';
import { notSeedReply, stoppedReply } from './replies.js';
import type { Replica } from './replica.js';
import type { StoredIdentity } from './stored-identity.js';

/** Several intervals between two registrations of a host. */
const registrationLifetime: Milliseconds = 1_000;

/**
 * Answers the hosts that want to found the log. The state is in the identity file: on a host without a disk it lasts as
 * long as the process, and the next one joins, so that it never answers from an empty memory.
 */
export class FoundingSeed {
  readonly #replica: Replica;
  readonly #stored: StoredIdentity;
  /** The newest registration of each address: a host that lost its disk has a new identity. */
  readonly #registrations = new Map<
    string,
    { readonly candidate: Member; readonly at: Milliseconds }
  >();

  constructor(replica: Replica, stored: StoredIdentity) {
    this.#replica = replica;
    this.#stored = stored;
  }

  async answer(message: SeedMessage): Promise<PeerReply> {
    const record = this.#stored.identity.founding;
    if (record === undefined || !this.#takesPart(record, message))
      return notSeedReply();
    const isRecorded = await this.#record(message);
    if (!isRecorded || this.#replica.isStopped)
      return stoppedReply(this.#replica);
    return this.#describe();
  }

  /** A seed that has found a group without having taken part in its founding must not help to found another one. */
  #takesPart(
    { seeds, self, isSeed, accepted }: FoundingRecord,
    message: SeedMessage,
  ): boolean {
    if (!isSeed || message.to !== self) return false;
    if (message.seeds.join() !== seeds.join()) return false;
    return accepted !== undefined || this.#replica.store.members.length === 0;
  }

  async #record(message: SeedMessage): Promise<boolean> {
    switch (message.kind) {
      case PeerMessageKind.RegisterFounder: {
        const { candidate } = message;
        const at = this.#replica.now();
        this.#registrations.set(candidate.address, { candidate, at });
        return true;
      }
      case PeerMessageKind.PrepareFounding: {
        const { ballot } = message;
        return await this.#change(record =>
          hasPromisedLater(record, ballot)
            ? record
            : { ...record, promised: ballot },
        );
      }
      case PeerMessageKind.AcceptFounding: {
        const { ballot, members } = message;
        return await this.#change(record =>
          hasPromisedLater(record, ballot)
            ? record
            : { ...record, promised: ballot, accepted: { ballot, members } },
        );
      }
    }
  }

  #change(compose: (record: FoundingRecord) => FoundingRecord) {
    return this.#stored.change(identity => {
      const { founding } = identity;
      if (founding === undefined) return identity;
      const changed = compose(founding);
      return changed === founding
        ? identity
        : { ...identity, founding: changed };
    });
  }

  #describe(): SeedAnswer {
    const { promised, accepted } = this.#stored.identity.founding ?? {};
    const oldest = this.#replica.now() - registrationLifetime;
    const candidates = [...this.#registrations.values()]
      .filter(({ at }) => at >= oldest)
      .map(({ candidate }) => candidate);
    return { kind: PeerReplyKind.SeedAnswer, candidates, promised, accepted };
  }
}

function hasPromisedLater(
  { promised }: FoundingRecord,
  ballot: Ballot,
): boolean {
  return promised !== undefined && compareBallots(promised, ballot) > 0;
}
