/** Fake network between replicas: cuts, one-way cuts, delays, drops and duplicates, all seeded. */
import { ConnectionError } from '@cranberryturn/errors';
import type { RandomSource } from '@cranberryturn/random';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds, ReplicaId } from '@cranberryturn/types';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import type { PeerLink, PeerMessage, PeerReply } from '../ports/peer-link.js';

/** Receiving side of a replica. */
export type PeerHandler = (
  from: ReplicaId,
  message: PeerMessage,
) => Promise<PeerReply>;

/** Faults of every link. */
export interface LinkFaults {
  /** Share of messages, and of replies, that are lost: 0 to 1. */
  readonly dropShare: number;
  /** Share of messages that are delivered twice: 0 to 1. */
  readonly duplicateShare: number;
  /** Longest delay of a message or a reply. */
  readonly maximumDelay: Milliseconds;
}

/** Fake network. */
export interface FakePeerNetwork {
  /** The link of one replica; replicas without a handler can't be reached. */
  linkOf(replicaId: ReplicaId): PeerLink;
  attach(replicaId: ReplicaId, handler: PeerHandler): void;
  detach(replicaId: ReplicaId): void;
  /** Messages and replies from `from` to `to` are lost without a sign. */
  cutOneWay(from: ReplicaId, to: ReplicaId): void;
  /** Cuts a replica off from all others, both ways. */
  isolate(replicaId: ReplicaId): void;
  /** Ends all cuts. */
  heal(): void;
  setFaults(faults: LinkFaults): void;
  /** Number of messages sent so far. */
  messages(): number;
}

const noFaults: LinkFaults = {
  dropShare: 0,
  duplicateShare: 0,
  maximumDelay: 0,
};

/** Creates a network without faults. */
export function createFakePeerNetwork(
  timers: TimerService,
  random: RandomSource,
): FakePeerNetwork {
  const handlers = new Map<ReplicaId, PeerHandler>();
  const cuts = new Set<string>();
  const isolated = new Set<ReplicaId>();
  let faults = noFaults;
  let messageCount = 0;

  const isCut = (from: ReplicaId, to: ReplicaId): boolean =>
    isolated.has(from) || isolated.has(to) || cuts.has(cutKey(from, to));

  /** Carries something one way; false when it is lost. */
  const transmit = async (from: ReplicaId, to: ReplicaId): Promise<boolean> => {
    if (faults.maximumDelay > 0) {
      await sleep(timers, random.fraction() * faults.maximumDelay);
    }
    if (isCut(from, to)) return false;
    return faults.dropShare === 0 || random.fraction() >= faults.dropShare;
  };

  const deliver = async (
    from: ReplicaId,
    to: ReplicaId,
    message: PeerMessage,
  ): Promise<Result<PeerReply, ConnectionError>> => {
    if (!(await transmit(from, to))) return await neverSettle();
    const handler = handlers.get(to);
    if (handler === undefined) return err(notReachable(to));
    const reply = await handler(from, message);
    if (!(await transmit(to, from))) return await neverSettle();
    return ok(reply);
  };

  return {
    linkOf: from => ({
      call: (to, message) => {
        messageCount += 1;
        const isDuplicated =
          faults.duplicateShare > 0 &&
          random.fraction() < faults.duplicateShare;
        if (isDuplicated) void deliver(from, to, message);
        return new ResultAsync(deliver(from, to, message));
      },
    }),
    attach: (replicaId, handler) => void handlers.set(replicaId, handler),
    detach: replicaId => void handlers.delete(replicaId),
    cutOneWay: (from, to) => void cuts.add(cutKey(from, to)),
    isolate: replicaId => void isolated.add(replicaId),
    heal: () => {
      cuts.clear();
      isolated.clear();
    },
    setFaults: wanted => {
      faults = wanted;
    },
    messages: () => messageCount,
  };
}

function cutKey(from: ReplicaId, to: ReplicaId): string {
  return `${from} -> ${to}`;
}

function notReachable(peer: ReplicaId): ConnectionError {
  return new ConnectionError(`Replica "${peer}" does not run in this test.`, {
    step: 'call peer',
    peer,
  });
}

/** A lost message or reply is never heard of again. */
function neverSettle(): Promise<never> {
  return new Promise<never>(() => undefined);
}
