/** Brings the parts of a sidecar together. */
import type { Logger } from '@cranberryturn/logger';
import { Counter, type Metrics } from '@cranberryturn/metrics';
import type { RandomSource } from '@cranberryturn/random';
import {
  defaultSessionTimes,
  openSession,
  type Session,
  type SessionDialer,
  type SessionListener,
  type SessionTimes,
} from '@cranberryturn/sessions';
import { sleep, type TimerService } from '@cranberryturn/timers';
import {
  AttemptOutcome,
  type AttemptResult,
  type DecisionSink,
  type DispatcherId,
  type Milliseconds,
  type NetworkAddress,
  type TargetAnnouncement,
} from '@cranberryturn/types';
import {
  type FromTargetMessage,
  FromTargetKind,
  type Network,
  type ToTargetMessage,
  ToTargetKind,
} from '@cranberryturn/wire';

import { AttemptLedger, type LedgerRetention } from './attempt-ledger.js';
import type { TargetPort } from './ports/target.js';
import { AttemptRunner } from './run-attempts.js';

const forgetPeriodMilliseconds: Milliseconds = 1_000;
const stopPollMilliseconds: Milliseconds = 10;
const defaultGraceMilliseconds: Milliseconds = 60_000;

/** What a sidecar is built from. */
export interface SidecarOptions {
  readonly announcement: TargetAnnouncement;
  readonly dispatchers: readonly NetworkAddress[];
  readonly network: Network;
  readonly target: TargetPort;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly decisions: DecisionSink;
  readonly logger?: Logger | undefined;
  readonly metrics?: Metrics | undefined;
  readonly retention: LedgerRetention;
  readonly queueLimit: number;
  readonly sessionTimes?: SessionTimes | undefined;
  /** Longest time of a planned stop. */
  readonly graceMilliseconds?: Milliseconds | undefined;
}

/** A running sidecar. */
export interface Sidecar {
  readonly runner: AttemptRunner;
  /** Sessions with dispatchers, for metrics. */
  sessions(): readonly Session<FromTargetMessage, ToTargetMessage>[];
  /** Planned stop: refuses new attempts, finishes those in flight, waits for acknowledgements. */
  stop(): Promise<void>;
  /** Ends everything at once. */
  kill(): void;
}

type SendToDispatcher = (message: FromTargetMessage) => void;

type DispatcherSession = SessionDialer<FromTargetMessage, ToTargetMessage>;

/** Starts a sidecar beside a target. */
export function startSidecar(options: SidecarOptions): Sidecar {
  const { timers, announcement } = options;
  const ledger = new AttemptLedger(timers, options.retention);
  const senders = new Map<DispatcherId, SendToDispatcher>();
  const waiting = new Set<SendToDispatcher>();
  const runner = new AttemptRunner({
    announcement,
    target: options.target,
    ledger,
    timers,
    decisions: options.decisions,
    queueLimit: options.queueLimit,
    attemptEnded: (result, dispatchers) => {
      options.metrics?.count(chooseCounter(result.outcome));
      reportResult(runner, senders, result, dispatchers);
      reportFreeSlot(runner, waiting);
    },
  });

  const startDispatcherSession = (
    dispatcherId: DispatcherId,
    send: SendToDispatcher,
  ): SessionListener<ToTargetMessage> => {
    senders.set(dispatcherId, send);
    send({ kind: FromTargetKind.Announce, announcement, load: runner.load });
    return {
      messageReceived: message => {
        handleMessage(runner, ledger, waiting, dispatcherId, send, message);
      },
      connected: () => {
        options.logger?.info('session connected', { dispatcherId });
      },
      suspected: () => {
        options.logger?.warn('session suspected', { dispatcherId });
      },
      ended: reason => {
        options.logger?.info('session ended', { dispatcherId, reason });
        waiting.delete(send);
        if (senders.get(dispatcherId) === send) senders.delete(dispatcherId);
      },
    };
  };

  const dialers: readonly DispatcherSession[] = options.dispatchers.map(
    address =>
      openSession<FromTargetMessage, ToTargetMessage>({
        network: options.network,
        address,
        timers,
        random: options.random,
        times: options.sessionTimes ?? defaultSessionTimes,
        startSession: (peer, send) => startDispatcherSession(peer.name, send),
      }),
  );
  const forgetting = timers.every(forgetPeriodMilliseconds, () => {
    ledger.forgetOldJobs();
  });

  const sessions = () =>
    dialers.flatMap(dialer => {
      const session = dialer.current();
      return session === undefined ? [] : [session];
    });

  const kill = (): void => {
    forgetting.cancel();
    for (const dialer of dialers) dialer.close();
  };

  const tellAll = (message: FromTargetMessage): void => {
    for (const send of senders.values()) send(message);
  };

  const stop = async (): Promise<void> => {
    const grace = options.graceMilliseconds ?? defaultGraceMilliseconds;
    const giveUpAt = timers.now() + grace;
    runner.beginStop();
    tellAll({ kind: FromTargetKind.LoadReport, load: runner.load });
    await pollUntil(timers, giveUpAt, () => runner.isIdle);
    if (runner.isIdle) tellAll({ kind: FromTargetKind.Left });
    await pollUntil(timers, giveUpAt, () => sessions().every(isAcknowledged));
    kill();
    await options.target.close();
  };

  return { runner, sessions, stop, kill };
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

function reportResult(
  runner: AttemptRunner,
  senders: ReadonlyMap<DispatcherId, SendToDispatcher>,
  result: AttemptResult,
  dispatchers: readonly DispatcherId[],
): void {
  for (const dispatcher of dispatchers) {
    senders.get(dispatcher)?.({
      kind: FromTargetKind.AttemptEnded,
      result,
      load: runner.load,
    });
  }
}

/** Tells the dispatchers whose tasks wait, once each. */
function reportFreeSlot(
  runner: AttemptRunner,
  waiting: Set<SendToDispatcher>,
): void {
  const { load } = runner;
  if (load.freeSlots <= load.queuedTasks) return;
  for (const send of waiting) send({ kind: FromTargetKind.LoadReport, load });
  waiting.clear();
}

function handleMessage(
  runner: AttemptRunner,
  ledger: AttemptLedger,
  waiting: Set<SendToDispatcher>,
  dispatcher: DispatcherId,
  send: SendToDispatcher,
  message: ToTargetMessage,
): void {
  switch (message.kind) {
    case ToTargetKind.StartAttempt:
      runner.acceptAttempt(message.attempt, message.requestId);
      return;
    case ToTargetKind.CancelAttempts:
      runner.cancelAttempts(message.attempts, message.reason);
      return;
    case ToTargetKind.FenceJob: {
      const evidence = ledger.fenceJob(
        message.jobId,
        message.epoch,
        dispatcher,
      );
      send({ kind: FromTargetKind.JobEvidence, evidence });
      return;
    }
    case ToTargetKind.ApplySettings:
      if (message.slots !== undefined) runner.changeSlots(message.slots);
      runner.changeDraining(message.draining);
      send({ kind: FromTargetKind.LoadReport, load: runner.load });
      return;
    case ToTargetKind.AcknowledgeLeft:
      return;
    case ToTargetKind.AskForLoad:
      waiting.add(send);
      reportFreeSlot(runner, waiting);
      return;
  }
}

/** A session that is silent is not waited for: its dispatcher may be gone. */
function isAcknowledged(
  session: Session<FromTargetMessage, ToTargetMessage>,
): boolean {
  return session.unacknowledged === 0 || session.isSuspected;
}

async function pollUntil(
  timers: TimerService,
  giveUpAt: Milliseconds,
  isDone: () => boolean,
): Promise<void> {
  while (!isDone() && timers.now() < giveUpAt) {
    await sleep(timers, stopPollMilliseconds);
  }
}
