/** Assembles and starts a sidecar. */
import type { Logger } from '@cranberryturn/logger';
import { Counter, type Metrics, WastedMessage } from '@cranberryturn/metrics';
import type { RandomSource } from '@cranberryturn/random';
import {
  defaultSessionTimes,
  type SessionListener,
  type SessionTimes,
} from '@cranberryturn/sessions';
import { sleep, type TimerService } from '@cranberryturn/timers';
import {
  AttemptOutcome,
  type DecisionSink,
  type Milliseconds,
  type NetworkAddress,
  type TargetAnnouncement,
} from '@cranberryturn/types';
import {
  FromTargetKind,
  type Network,
  type ToTargetMessage,
} from '@cranberryturn/wire';

import { AttemptLedger, type LedgerRetention } from './attempt-ledger.js';
import type { UsagePoller } from './poll-usage.js';
import {
  handleDispatcherMessage,
  type MessageHandlerContext,
} from './handle-dispatcher-message.js';
import type { DispatcherSession } from './dispatcher-link.js';
import { DispatcherSessions } from './dispatcher-sessions.js';
import type { TargetPort } from './ports/target.js';
import { AttemptRunner } from './run-attempts.js';
import {
  type ServedDispatcher,
  ServedDispatchers,
} from './served-dispatchers.js';

const forgetIntervalMilliseconds: Milliseconds = 1_000;
const stopPollIntervalMilliseconds: Milliseconds = 10;
const defaultGraceMilliseconds: Milliseconds = 60_000;

/** Dependencies and settings of a sidecar. */
export interface SidecarOptions {
  readonly announcement: TargetAnnouncement;
  /** Dispatchers to dial until one of them sends a session plan. */
  readonly dispatchers: readonly NetworkAddress[];
  readonly network: Network;
  readonly target: TargetPort;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly decisions: DecisionSink;
  readonly logger?: Logger | undefined;
  readonly metrics?: Metrics | undefined;
  readonly retention: LedgerRetention;
  /** Maximum number of queued attempts beyond the free slots. */
  readonly queueLimit: number;
  /** Usage of the worker, if a platform reports it. */
  readonly usage?: UsagePoller | undefined;
  readonly sessionTimes?: SessionTimes | undefined;
  /** Time limit of a planned stop; 60 s by default. */
  readonly graceMilliseconds?: Milliseconds | undefined;
}

/** A running sidecar. */
export interface Sidecar {
  readonly runner: AttemptRunner;
  /** Sessions with dispatchers, for metrics. */
  sessions(): readonly DispatcherSession[];
  /** Length of the answers kept for adopting dispatchers, in characters. */
  answersHeldBytes(): number;
  /**
   * Planned stop: refuses new and queued attempts, lets running ones finish and
   * waits for acknowledgements, up to the grace period.
   */
  stop(): Promise<void>;
  /** Closes all sessions at once, without waiting for attempts. */
  kill(): void;
}

/** Starts a sidecar and dials its dispatchers. */
export function startSidecar(options: SidecarOptions): Sidecar {
  const { timers, announcement } = options;
  const ledger = new AttemptLedger(timers, options.retention);
  const dispatchers = new ServedDispatchers({
    announcement,
    load: () => runner.load,
    usage: options.usage,
  });
  const runner: AttemptRunner = new AttemptRunner({
    announcement,
    target: options.target,
    ledger,
    timers,
    decisions: options.decisions,
    queueLimit: options.queueLimit,
    reportLateCancellation: () => {
      options.metrics?.countWasted(WastedMessage.LateCancellation);
    },
    reportResult: (result, dispatcherIds) => {
      options.metrics?.count(chooseCounter(result.outcome));
      dispatchers.reportResult(result, dispatcherIds);
      dispatchers.reportFreeSlot();
    },
  });
  const context: MessageHandlerContext = {
    runner,
    ledger,
    dispatchers,
    sessions: () => sessions,
  };
  const sessions: DispatcherSessions = new DispatcherSessions({
    network: options.network,
    seeds: options.dispatchers,
    timers,
    random: options.random,
    times: options.sessionTimes ?? defaultSessionTimes,
    dispatchers,
    hasWorkFor: dispatcher => runner.hasWorkFor(dispatcher),
    createListener: served =>
      createSessionListener(context, options.logger, served),
  });
  const forgetTimer = timers.every(forgetIntervalMilliseconds, () => {
    ledger.forgetOldJobs();
  });

  const kill = (): void => {
    forgetTimer.cancel();
    options.usage?.stop();
    sessions.close();
  };

  let stopping: Promise<void> | undefined;
  const finishAndStop = async (): Promise<void> => {
    const graceMilliseconds =
      options.graceMilliseconds ?? defaultGraceMilliseconds;
    const deadline = timers.now() + graceMilliseconds;
    runner.beginStop();
    dispatchers.reportLoadToAll();
    const areSessionsAcknowledged = () =>
      sessions.current().every(isAcknowledged);
    // An acknowledgement of the draining report follows all attempts that the dispatcher sent before it.
    const isDone = () => runner.isIdle && areSessionsAcknowledged();
    await pollUntil(timers, deadline, isDone);
    if (isDone()) dispatchers.broadcast({ kind: FromTargetKind.Left });
    await pollUntil(timers, deadline, areSessionsAcknowledged);
    kill();
    await options.target.close();
  };

  return {
    runner,
    sessions: () => sessions.current(),
    answersHeldBytes: () => ledger.answerBytes,
    stop: () => (stopping ??= finishAndStop()),
    kill,
  };
}

function createSessionListener(
  context: MessageHandlerContext,
  logger: Logger | undefined,
  served: ServedDispatcher,
): SessionListener<ToTargetMessage> {
  const { dispatcherId } = served;
  return {
    messageReceived: message => {
      handleDispatcherMessage(context, served, message);
    },
    hasWork: () => context.runner.hasWorkFor(dispatcherId),
    connected: () => {
      logger?.info('session connected', { dispatcherId });
    },
    suspected: () => {
      logger?.warn('session suspected', { dispatcherId });
    },
    ended: reason => {
      logger?.info('session ended', { dispatcherId, reason });
      context.dispatchers.remove(served);
    },
  };
}

function chooseCounter(outcome: AttemptOutcome): Counter {
  switch (outcome) {
    case AttemptOutcome.Answered:
      return Counter.TasksAnswered;
    case AttemptOutcome.Failed:
      return Counter.TasksFailed;
    case AttemptOutcome.NotStarted:
      return Counter.TasksNotStarted;
  }
}

/** A suspected session counts as acknowledged, as its dispatcher may be gone. */
function isAcknowledged(session: DispatcherSession): boolean {
  return session.unacknowledged === 0 || session.isSuspected;
}

async function pollUntil(
  timers: TimerService,
  giveUpAt: Milliseconds,
  isDone: () => boolean,
): Promise<void> {
  while (!isDone() && timers.now() < giveUpAt) {
    await sleep(timers, stopPollIntervalMilliseconds);
  }
}
