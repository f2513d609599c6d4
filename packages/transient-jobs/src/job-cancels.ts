/**
 * Cancels jobs wherever they are in progress. A cancel may reach any dispatcher, and which one has the job is not known,
 * so a dispatcher without it asks all others.
 */
import type { Logger } from '@cranberryturn/logger';
import type { TimerService } from '@cranberryturn/timers';
import type {
  DispatcherId,
  DispatcherList,
  JobId,
  Milliseconds,
} from '@cranberryturn/types';
import {
  type JobCancelAnswer,
  JobCancelKind,
  type JobCancelRequest,
  JobFinding,
} from '@cranberryturn/wire';

import type { DispatcherLinks } from './dispatcher-links.js';

/** A dispatcher that is reachable answers within some ten milliseconds, its first connection included. */
const answerTimeoutMilliseconds: Milliseconds = 700;
/** A submission that was on its way during the cancel, or is repeated after a lost answer, arrives within this time. */
const retentionMilliseconds: Milliseconds = 10_000;

/** What is known of a job after its cancel. */
export enum CancelOutcome {
  /** It was in progress and has ended. */
  Ended = 'ended',
  /** No dispatcher that was asked has it in progress. */
  Unknown = 'unknown',
  /** It may be in progress at a dispatcher that has not answered. */
  Unanswered = 'unanswered',
}

/** Dependencies of the cancels. */
export interface JobCancelsOptions {
  readonly dispatcherId: DispatcherId;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly listDispatchers: () => DispatcherList;
  readonly links: Pick<
    DispatcherLinks,
    'isConnected' | 'sendRequest' | 'sendAnswer'
  >;
  /** Ends a job; false when it is not in progress here. */
  readonly endJob: (jobId: JobId) => boolean;
  /** Whether a job has ended here a short time ago. */
  readonly hasEndedRecently: (jobId: JobId) => boolean;
}

interface PendingCancel {
  readonly request: JobCancelRequest;
  /** Dispatchers that have not answered. */
  readonly unanswered: Set<DispatcherId>;
  /** The most that a dispatcher has found. */
  finding: JobFinding;
  readonly finish: () => void;
}

/** The cancels of one dispatcher. */
export class JobCancels {
  readonly #options: JobCancelsOptions;
  readonly #pending = new Map<number, PendingCancel>();
  /** Until when each cancelled job is remembered, the earliest first. */
  readonly #cancelled = new Map<JobId, Milliseconds>();
  #lastCancel = 0;

  constructor(options: JobCancelsOptions) {
    this.#options = options;
  }

  /** Ends a job here, or else asks all other dispatchers; resolves within a bounded time. */
  async cancel(jobId: JobId): Promise<CancelOutcome> {
    const { timers, logger, dispatcherId, listDispatchers } = this.#options;
    const finding = this.#endHere(jobId);
    if (finding === JobFinding.InProgress) return CancelOutcome.Ended;
    const askedAt = timers.now();
    const listed = listDispatchers().dispatchers.map(one => one.dispatcherId);
    const unanswered = new Set(listed.filter(one => one !== dispatcherId));
    // Without this dispatcher the list is out of date: control has not registered it, or has removed it as silent.
    const isListCurrent = listed.includes(dispatcherId);
    logger.info('cancel passed on', {
      jobId,
      finding,
      dispatchers: unanswered.size,
      isListCurrent,
    });
    const found = await this.#ask(jobId, unanswered, finding);
    const outcome = decideOutcome(
      found,
      isListCurrent && unanswered.size === 0,
    );
    logger.info('cancel decided', {
      jobId,
      outcome,
      finding: found,
      unanswered: [...unanswered],
      elapsedMilliseconds: Math.round(timers.now() - askedAt),
    });
    return outcome;
  }

  /** Whether the job was cancelled a short time ago and must not start. */
  isCancelled(jobId: JobId): boolean {
    this.#forgetExpired();
    return this.#cancelled.has(jobId);
  }

  /** Ends a job for another dispatcher. */
  handleRequest(
    dispatcher: DispatcherId,
    { cancel, jobId }: JobCancelRequest,
  ): void {
    const finding = this.#endHere(jobId);
    this.#options.logger.info('cancel received from a dispatcher', {
      jobId,
      dispatcher,
      finding,
    });
    this.#options.links.sendAnswer(dispatcher, {
      kind: JobCancelKind.Answer,
      cancel,
      finding,
    });
  }

  handleAnswer(
    dispatcher: DispatcherId,
    { cancel, finding }: JobCancelAnswer,
  ): void {
    const pending = this.#pending.get(cancel);
    if (pending === undefined) return;
    pending.unanswered.delete(dispatcher);
    if (
      finding === JobFinding.InProgress ||
      pending.finding === JobFinding.Unknown
    )
      pending.finding = finding;
    const isDecided =
      finding === JobFinding.InProgress || pending.unanswered.size === 0;
    if (isDecided) pending.finish();
  }

  /** Sends the requests that wait for a connection to a dispatcher. */
  dispatcherConnected(dispatcher: DispatcherId): void {
    for (const { request, unanswered } of this.#pending.values())
      if (unanswered.has(dispatcher))
        this.#options.links.sendRequest(dispatcher, request);
  }

  #endHere(jobId: JobId): JobFinding {
    this.#remember(jobId);
    if (this.#options.endJob(jobId)) return JobFinding.InProgress;
    return this.#options.hasEndedRecently(jobId)
      ? JobFinding.EndedBefore
      : JobFinding.Unknown;
  }

  /** Asks until a dispatcher has found the job in progress, all have answered, or the time is over. */
  async #ask(
    jobId: JobId,
    unanswered: Set<DispatcherId>,
    finding: JobFinding,
  ): Promise<JobFinding> {
    if (unanswered.size === 0) return finding;
    const { timers, links } = this.#options;
    this.#lastCancel += 1;
    const cancel = this.#lastCancel;
    const request = { kind: JobCancelKind.Request, cancel, jobId } as const;
    const pending = await new Promise<PendingCancel>(resolve => {
      const asked: PendingCancel = {
        request,
        unanswered,
        finding,
        finish: () => {
          expiry.cancel();
          resolve(asked);
        },
      };
      const expiry = timers.after(answerTimeoutMilliseconds, asked.finish);
      this.#pending.set(cancel, asked);
      for (const dispatcher of unanswered)
        if (links.isConnected(dispatcher))
          links.sendRequest(dispatcher, request);
    });
    this.#pending.delete(cancel);
    return pending.finding;
  }

  #remember(jobId: JobId): void {
    this.#forgetExpired();
    this.#cancelled.delete(jobId);
    this.#cancelled.set(
      jobId,
      this.#options.timers.now() + retentionMilliseconds,
    );
  }

  #forgetExpired(): void {
    const now = this.#options.timers.now();
    for (const [jobId, until] of this.#cancelled) {
      if (until > now) return;
      this.#cancelled.delete(jobId);
    }
  }
}

/**
 * A job that has ended a short time ago at one dispatcher would be in progress at a silent one only if it was submitted
 * again there since, so silent dispatchers leave its cancel undecided no more.
 */
function decideOutcome(
  finding: JobFinding,
  haveAllAnswered: boolean,
): CancelOutcome {
  switch (finding) {
    case JobFinding.InProgress:
      return CancelOutcome.Ended;
    case JobFinding.EndedBefore:
      return CancelOutcome.Unknown;
    case JobFinding.Unknown:
      return haveAllAnswered ? CancelOutcome.Unknown : CancelOutcome.Unanswered;
  }
}
