/** Callers of a test, each with one job, which it submits again after its connection has broken. */
import type { JobId, Milliseconds } from '@cranberryturn/types';
import type { Suspension } from '@cranberryturn/wire';

import { type TransientJob, TransientJobEndKind } from '../transient-job.js';
import type { TransientJobs } from '../transient-jobs.js';
import type { SubmittedJob } from '../transient-jobs-options.js';
import { getItem } from './get-item.js';
import type { FakeDispatcher, JobsFixture } from './jobs-fixture.js';

/** A caller whose job is refused, or who finds no dispatcher, tries again after this time. */
const retryMilliseconds: Milliseconds = 30;

/** Callers submit a job again this long after their connection has broken, to any dispatcher. */
export const resendMilliseconds: Milliseconds = 1_300;
/** The close of a connection reaches the host of its dispatcher within this time. */
export const closeDeliveryMilliseconds: Milliseconds = 130;

/** Order in which a process that resumes handles what is due and what has arrived. */
export enum ResumeOrder {
  /** Timers, requests and closes of callers, frames. */
  CallersBeforeFrames = 'callers-before-frames',
  /** Timers, frames, requests and closes of callers. */
  FramesBeforeCallers = 'frames-before-callers',
  /** Frames, requests and closes of callers, timers. */
  TimersLast = 'timers-last',
}

interface CallerConnection {
  readonly dispatcher: FakeDispatcher;
  /** Process of the dispatcher; a later one has none of its connections. */
  readonly process: TransientJobs;
  readonly openedAt: Milliseconds;
  /** Undefined until the dispatcher has read the request. */
  submitted: SubmittedJob | undefined;
}

interface Caller {
  readonly job: TransientJob;
  connection: CallerConnection | undefined;
  mayResendAt: Milliseconds;
  /** When its last connection ended on which the job may have been executed, and how long its dispatcher may not know. */
  lastEnd: ConnectionEnd | undefined;
}

/** The end of the connection of a caller. */
export interface ConnectionEnd {
  readonly endedAt: Milliseconds;
  readonly deliveryMilliseconds: Milliseconds;
}

/** What the caller of a job may expect: no run that started before its present connection opened outlasts the last end. */
export interface CallerState {
  readonly openedAt: Milliseconds | undefined;
  readonly lastEnd: ConnectionEnd | undefined;
}

/** The callers of some jobs. */
export class FakeCallers {
  readonly #fixture: JobsFixture;
  readonly #callers: readonly Caller[];
  /** Requests and closes that suspended dispatchers have not read, in the order of their arrival. */
  readonly #unread = new Map<FakeDispatcher, (() => void)[]>();

  constructor(fixture: JobsFixture, jobs: readonly TransientJob[]) {
    this.#fixture = fixture;
    this.#callers = jobs.map(job => ({
      job,
      connection: undefined,
      mayResendAt: 0,
      lastEnd: undefined,
    }));
  }

  /** The state of the caller of a job. */
  findState(jobId: JobId): CallerState | undefined {
    const caller = this.#callers.find(({ job }) => job.jobId === jobId);
    return (
      caller && {
        openedAt: caller.connection?.openedAt,
        lastEnd: caller.lastEnd,
      }
    );
  }

  /** Submits a job, unless its caller waits for an answer or may not submit it again yet. */
  submit(position: number, dispatcher: FakeDispatcher): void {
    const caller = getItem(this.#callers, position);
    const { timers } = this.#fixture;
    if (caller.connection !== undefined || timers.now() < caller.mayResendAt)
      return;
    if (!dispatcher.isUp) {
      this.#tryAgain(position);
      return;
    }
    const connection: CallerConnection = {
      dispatcher,
      process: dispatcher.jobs,
      openedAt: timers.now(),
      submitted: undefined,
    };
    caller.connection = connection;
    this.#deliver(connection, () => {
      const submitted = connection.process.submit(caller.job);
      connection.submitted = submitted;
      void submitted.ended.then(({ kind }) => {
        if (caller.connection !== connection) return;
        if (kind === TransientJobEndKind.Refused) {
          caller.connection = undefined;
          this.#tryAgain(position);
          return;
        }
        // The answer may be lost on its way to the caller, who then submits the job again.
        this.#endConnection(caller, 0);
      });
    });
  }

  /** Breaks the connection of a caller, who submits its job again to `next`. */
  breakConnection(
    position: number,
    deliveryMilliseconds: Milliseconds,
    next: FakeDispatcher,
  ): void {
    const { connection } = getItem(this.#callers, position);
    if (connection === undefined) return;
    this.#scheduleResend(position, next, closeDeliveryMilliseconds);
    const close = (): void => {
      this.#deliver(connection, () => {
        connection.submitted?.abandon();
      });
    };
    if (deliveryMilliseconds === 0) close();
    else this.#fixture.timers.after(deliveryMilliseconds, close);
  }

  /** Breaks the connections of a dispatcher that crashes; its callers submit their jobs again to `next`. */
  dispatcherCrashed(dispatcher: FakeDispatcher, next: FakeDispatcher): void {
    this.#unread.delete(dispatcher);
    this.#callers.forEach(({ connection }, position) => {
      if (connection?.dispatcher === dispatcher)
        this.#scheduleResend(position, next, 0);
    });
  }

  suspend(dispatcher: FakeDispatcher): void {
    if (!dispatcher.isUp) return;
    dispatcher.suspension.suspend();
    if (!this.#unread.has(dispatcher)) this.#unread.set(dispatcher, []);
  }

  async resume(dispatcher: FakeDispatcher, order: ResumeOrder): Promise<void> {
    const unread = this.#unread.get(dispatcher) ?? [];
    this.#unread.delete(dispatcher);
    await resumeInOrder(dispatcher.suspension, order, () => {
      for (const event of unread) event();
    });
  }

  #endConnection(caller: Caller, deliveryMilliseconds: Milliseconds): void {
    const endedAt = this.#fixture.timers.now();
    caller.connection = undefined;
    caller.lastEnd = { endedAt, deliveryMilliseconds };
    caller.mayResendAt = endedAt + resendMilliseconds;
  }

  /** Submits a job, once its caller may, to another dispatcher that is up. */
  #tryAgain(position: number): void {
    const { timers, dispatchers } = this.#fixture;
    timers.after(retryMilliseconds, () => {
      const up = dispatchers.filter(({ isUp }) => isUp);
      const next = up[Math.floor(timers.now()) % up.length];
      if (next === undefined) this.#tryAgain(position);
      else this.submit(position, next);
    });
  }

  #scheduleResend(
    position: number,
    next: FakeDispatcher,
    deliveryMilliseconds: Milliseconds,
  ): void {
    const caller = getItem(this.#callers, position);
    const { timers } = this.#fixture;
    this.#endConnection(caller, deliveryMilliseconds);
    timers.after(resendMilliseconds, () => {
      this.submit(position, next);
    });
  }

  #deliver({ dispatcher, process }: CallerConnection, event: () => void): void {
    if (dispatcher.jobs !== process || !dispatcher.isUp) return;
    const unread = this.#unread.get(dispatcher);
    if (unread === undefined) event();
    else unread.push(event);
  }
}

/** Resumes a process. All that has arrived is handled before the next turn of its event loop. */
export async function resumeInOrder(
  suspension: Suspension,
  order: ResumeOrder,
  readCallers: () => void,
): Promise<void> {
  switch (order) {
    case ResumeOrder.CallersBeforeFrames:
      suspension.resume();
      readCallers();
      break;
    case ResumeOrder.FramesBeforeCallers:
      suspension.resume();
      await finishTurn();
      readCallers();
      break;
    case ResumeOrder.TimersLast:
      suspension.read();
      await finishTurn();
      readCallers();
      suspension.resume();
      break;
  }
}

/** Lets a process finish a turn of the event loop, with all that its promises lead to. */
export async function finishTurn(): Promise<void> {
  await new Promise<void>(resolve => {
    process.nextTick(resolve);
  });
}
