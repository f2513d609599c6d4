/**
 * Opens a replica again that a fault of its disk has stopped. After a failed write or sync it is unknown what the files
 * hold, so nothing is tried again: as after a crash of the process, the replica starts from what the disk returns.
 */
import { StorageError } from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, ReplicaId } from '@cranberryturn/types';
import type { Result } from 'neverthrow';

import {
  LogEventKind,
  type LogEvent,
  type LogStatus,
  type LogSubscription,
  type OpenLogError,
  type ReplicatedLog,
} from '../log-types.js';
import type { MemberChange } from '../members.js';
import type { PeerMessage, PeerReply } from '../ports/peer-link.js';
import type { ReplicatedLogService } from './service.js';

const minimumPauseMilliseconds: Milliseconds = 200;
const maximumPauseMilliseconds: Milliseconds = 4_000;
/** A replica that has worked for this long after a fault starts over with the shortest pause at the next one. */
const soundMilliseconds: Milliseconds = 10_000;

/** Opens the replica anew from its disk. */
export type Reopen<Outcome> = (
  former: ReplicatedLogService<Outcome>,
) => Promise<Result<ReplicatedLogService<Outcome>, OpenLogError>>;

/** A replica that recovers from faults of its disk that pass. Damaged data and a replaced identity stop it for good. */
export class RecoveringLog<Outcome> implements ReplicatedLog<Outcome> {
  readonly #timers: TimerService;
  readonly #reopen: Reopen<Outcome>;
  readonly #listeners = new Set<(event: LogEvent<Outcome>) => void>();
  #service: ReplicatedLogService<Outcome>;
  #subscription: LogSubscription;
  #openedAt: Milliseconds;
  #recovery: Promise<void> | undefined;
  /** Consecutive faults, and attempts to open the replica after the last of them. */
  #attempts = 0;
  /** Why the last attempt failed for good. */
  #openFailure: OpenLogError | undefined;
  #isStopping = false;

  constructor(
    timers: TimerService,
    service: ReplicatedLogService<Outcome>,
    reopen: Reopen<Outcome>,
  ) {
    this.#timers = timers;
    this.#reopen = reopen;
    this.#service = service;
    this.#openedAt = timers.now();
    this.#subscription = this.#follow(service);
  }

  propose(command: Uint8Array): ReturnType<ReplicatedLog<Outcome>['propose']> {
    return this.#service.propose(command);
  }

  status(): LogStatus {
    return this.#describe(this.#service.status());
  }

  confirmLeadership(): ReturnType<ReplicatedLog<Outcome>['confirmLeadership']> {
    return this.#service.confirmLeadership();
  }

  subscribe(listener: (event: LogEvent<Outcome>) => void): LogSubscription {
    this.#listeners.add(listener);
    return { cancel: () => void this.#listeners.delete(listener) };
  }

  changeMembers(
    change: MemberChange,
  ): ReturnType<ReplicatedLog<Outcome>['changeMembers']> {
    return this.#service.changeMembers(change);
  }

  transferLeadership(): ReturnType<
    ReplicatedLog<Outcome>['transferLeadership']
  > {
    return this.#service.transferLeadership();
  }

  handlePeerMessage(from: ReplicaId, message: PeerMessage): Promise<PeerReply> {
    return this.#service.handlePeerMessage(from, message);
  }

  async stop(): Promise<void> {
    this.#isStopping = true;
    await this.#service.stop();
  }

  #follow(service: ReplicatedLogService<Outcome>): LogSubscription {
    return service.subscribe(event => {
      if (event.kind === LogEventKind.RoleChanged) {
        this.#recoverIfFailed(event.status);
        this.#publish({ ...event, status: this.#describe(event.status) });
        return;
      }
      this.#publish(event);
    });
  }

  #publish(event: LogEvent<Outcome>): void {
    for (const listener of this.#listeners) listener(event);
  }

  #describe(status: LogStatus): LogStatus {
    if (this.#openFailure !== undefined)
      return { ...status, failure: this.#openFailure };
    if (this.#recovery === undefined) return status;
    return { ...status, recoveryAttempts: this.#attempts };
  }

  #recoverIfFailed({ failure }: LogStatus): void {
    if (!(failure instanceof StorageError)) return;
    if (this.#recovery !== undefined || this.#isStopping) return;
    const isRepeated = this.#timers.now() - this.#openedAt < soundMilliseconds;
    if (!isRepeated) this.#attempts = 0;
    this.#recovery = this.#recover().finally(() => {
      this.#recovery = undefined;
      this.#publishStatus();
    });
  }

  async #recover(): Promise<void> {
    for (;;) {
      await this.#pause();
      if (this.#isStopping) return;
      this.#attempts += 1;
      const opened = await this.#reopen(this.#service);
      if (opened.isOk()) {
        this.#replaceService(opened.value);
        return;
      }
      if (!(opened.error instanceof StorageError)) {
        this.#openFailure = opened.error;
        return;
      }
      this.#publishStatus();
    }
  }

  #pause(): Promise<void> {
    const pause = Math.min(
      maximumPauseMilliseconds,
      minimumPauseMilliseconds * 2 ** this.#attempts,
    );
    return new Promise(resolve => {
      this.#timers.after(pause, resolve);
    });
  }

  #replaceService(service: ReplicatedLogService<Outcome>): void {
    this.#subscription.cancel();
    this.#service = service;
    this.#openedAt = this.#timers.now();
    this.#subscription = this.#follow(service);
    if (this.#isStopping) void service.stop();
    else service.start();
  }

  #publishStatus(): void {
    this.#publish({ kind: LogEventKind.RoleChanged, status: this.status() });
  }
}
