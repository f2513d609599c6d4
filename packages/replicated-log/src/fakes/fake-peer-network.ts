/** Fake network between replicas with partitions, delays, lost and duplicated messages, all seeded. */
import { ConnectionError } from '@cranberryturn/errors';
import type { RandomSource } from '@cranberryturn/random';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds, ReplicaId } from '@cranberryturn/types';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import type { PeerLink, PeerMessage, PeerReply } from '../ports/peer-link.js';

/** Handles messages sent to a replica. */
export type PeerHandler = (
  from: ReplicaId,
  message: PeerMessage,
) => Promise<PeerReply>;

/** Faults that apply to every link. */
export interface LinkFaults {
  /** Probability that a message or a reply is lost, 0 to 1. */
  readonly dropShare: number;
  /** Probability that a message is delivered twice, 0 to 1. */
  readonly duplicateShare: number;
  /** Maximum delay of a message or a reply. */
  readonly maximumDelay: Milliseconds;
}

/** Fake network whose faults are controlled by the test. */
export interface FakePeerNetwork {
  /** Returns the link of one replica. Replicas without a handler are unreachable. */
  linkOf(replicaId: ReplicaId): PeerLink;
  attach(replicaId: ReplicaId, handler: PeerHandler): void;
  detach(replicaId: ReplicaId): void;
  /** Silently drops messages and replies from `from` to `to`. */
  cutOneWay(from: ReplicaId, to: ReplicaId): void;
  /** Partitions a replica from all others in both directions. */
  isolate(replicaId: ReplicaId): void;
  isIsolated(replicaId: ReplicaId): boolean;
  /** Ends all partitions. */
  heal(): void;
  setFaults(faults: LinkFaults): void;
  /** Number of messages sent so far, without replies and duplicates. */
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

  /** Delays one message or reply. Resolves with false when the message or reply is lost. */
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
    isIsolated: replicaId => isolated.has(replicaId),
    heal: () => {
      cuts.clear();
      isolated.clear();
    },
    setFaults: newFaults => {
      faults = newFaults;
    },
    messages: () => messageCount,
  };
}

function cutKey(from: ReplicaId, to: ReplicaId): string {
  return `${from} -> ${to}`;
}

function notReachable(peer: ReplicaId): ConnectionError {
  return new ConnectionError(
    `Replica "${peer}" is not attached to the fake network.`,
    {
      step: 'call peer',
      peer,
    },
  );
}

/** Result of a lost message or reply: a promise that never settles. */
function neverSettle(): Promise<never> {
  return new Promise<never>(() => undefined);
}
