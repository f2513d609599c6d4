/** Asks targets outside the subset of this dispatcher to open a session with this dispatcher. */
import type { RosterFeed } from '@cranberryturn/membership';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type {
  DispatcherId,
  DispatcherRecord,
  Milliseconds,
  TargetIdentity,
} from '@cranberryturn/types';
import { DispatcherMethod } from '@cranberryturn/wire';

import type { DispatcherLinks } from './dispatcher-links.js';
import type { SessionSubsets } from './session-subsets.js';

/** Dependencies of the inviter. */
export interface TargetInviterOptions {
  readonly self: DispatcherId;
  readonly roster: RosterFeed;
  readonly subsets: SessionSubsets;
  readonly links: DispatcherLinks;
  readonly timers: TimerService;
  readonly isReachable: (target: TargetIdentity) => boolean;
}

/** An invitation that has neither succeeded nor expired. */
interface Invitation {
  readonly target: TargetIdentity;
  readonly expiresAt: Milliseconds;
  /** Number of times that a dispatcher was asked to forward the invitation. */
  attempts: number;
}

/** Invitations that one dispatcher forwards over its own sessions. */
interface InvitationBatch {
  readonly holder: DispatcherRecord;
  readonly targets: TargetIdentity[];
}

const firstRoundDelayMilliseconds: Milliseconds = 200;
const roundIntervalMilliseconds: Milliseconds = 1_000;
const attemptsPerHolder = 2;

/** Sends invitations through dispatchers that hold a session with the target, one per round until one succeeds. */
export class TargetInviter {
  readonly #options: TargetInviterOptions;
  readonly #invitations = new Map<string, Invitation>();
  #isRunning = false;

  constructor(options: TargetInviterOptions) {
    this.#options = options;
  }

  /** Invites a target, with retries until the target is reachable or the timeout has passed. */
  invite(target: TargetIdentity, timeoutMilliseconds: Milliseconds): void {
    const key = `${target.targetId}/${target.incarnation}`;
    const expiresAt = this.#options.timers.now() + timeoutMilliseconds;
    this.#invitations.set(key, { target, expiresAt, attempts: 0 });
    if (this.#isRunning) return;
    this.#isRunning = true;
    void this.#run();
  }

  async #run(): Promise<void> {
    // A sidecar whose connection ended dials again by itself, so wait before sending messages.
    await sleep(this.#options.timers, firstRoundDelayMilliseconds);
    this.#dropFinished();
    while (this.#invitations.size > 0) {
      for (const batch of this.#composeRound()) this.#send(batch);
      await sleep(this.#options.timers, roundIntervalMilliseconds);
      this.#dropFinished();
    }
    this.#isRunning = false;
  }

  #composeRound(): readonly InvitationBatch[] {
    const batches = new Map<DispatcherId, InvitationBatch>();
    for (const invitation of this.#invitations.values()) {
      const { target } = invitation;
      const holder = this.#chooseHolder(invitation);
      if (holder === undefined) continue;
      invitation.attempts += 1;
      const batch = batches.get(holder.dispatcherId) ?? { holder, targets: [] };
      batch.targets.push(target);
      batches.set(holder.dispatcherId, batch);
    }
    return [...batches.values()];
  }

  /** Cycles through the holders, a bounded number of times so that an unreachable target ends the retries. */
  #chooseHolder({
    target,
    attempts,
  }: Invitation): DispatcherRecord | undefined {
    const holders = this.#options.subsets
      .findHolders(target.targetId)
      .filter(one => one.dispatcherId !== this.#options.self);
    if (attempts >= attemptsPerHolder * holders.length) return undefined;
    return holders[attempts % holders.length];
  }

  #send({ holder, targets }: InvitationBatch): void {
    const { roster, self, links } = this.#options;
    const own = roster
      .current()
      .dispatchers.find(one => one.dispatcherId === self);
    if (own === undefined) return;
    void links.call(
      holder.address,
      {
        method: DispatcherMethod.InviteTargets,
        targets,
        dispatcher: { dispatcherId: self, address: own.address },
      },
      roundIntervalMilliseconds,
    );
  }

  #dropFinished(): void {
    const now = this.#options.timers.now();
    for (const [key, { target, expiresAt }] of this.#invitations) {
      if (now < expiresAt && !this.#options.isReachable(target)) continue;
      this.#invitations.delete(key);
    }
  }
}
