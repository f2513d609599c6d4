/** Brings the parts of a sidecar together. */
import type { RandomSource } from '@cranberryturn/random';
import {
  defaultSessionTimes,
  openSession,
  type Session,
  type SessionDialer,
  type SessionListener,
  type SessionTimes,
} from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import type {
  AttemptResult,
  DecisionSink,
  DispatcherId,
  Milliseconds,
  NetworkAddress,
  TargetAnnouncement,
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
const acknowledgementPollMilliseconds: Milliseconds = 50;

/** What a sidecar is built from. */
export interface SidecarOptions {
  readonly announcement: TargetAnnouncement;
  readonly dispatchers: readonly NetworkAddress[];
  readonly network: Network;
  readonly target: TargetPort;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly decisions: DecisionSink;
  readonly retention: LedgerRetention;
  readonly queueLimit: number;
  readonly sessionTimes?: SessionTimes | undefined;
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

type DispatcherSession = SessionDialer<FromTargetMessage, ToTargetMessage>;

/** Starts a sidecar beside a target. */
export function startSidecar(options: SidecarOptions): Sidecar {
  const { timers, announcement } = options;
  const ledger = new AttemptLedger(timers, options.retention);
  const senders = new Map<DispatcherId, (message: FromTargetMessage) => void>();
  const runner = new AttemptRunner({
    announcement,
    target: options.target,
    ledger,
    timers,
    decisions: options.decisions,
    queueLimit: options.queueLimit,
    attemptEnded: (result, dispatchers) => {
      reportResult(runner, senders, result, dispatchers);
    },
  });

  const startDispatcherSession = (
    dispatcherId: DispatcherId,
    send: (message: FromTargetMessage) => void,
  ): SessionListener<ToTargetMessage> => {
    senders.set(dispatcherId, send);
    send({ kind: FromTargetKind.Announce, announcement, load: runner.load });
    return {
      messageReceived: message => {
        handleMessage(runner, ledger, dispatcherId, send, message);
      },
      connected: () => undefined,
      suspected: () => undefined,
      ended: () => {
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

  const stop = async (): Promise<void> => {
    runner.changeDraining(true);
    for (const send of senders.values()) {
      send({ kind: FromTargetKind.LoadReport, load: runner.load });
    }
    await runner.waitUntilIdle();
    await waitForAcknowledgements(sessions, timers);
    kill();
    await options.target.close();
  };

  return { runner, sessions, stop, kill };
}

function reportResult(
  runner: AttemptRunner,
  senders: ReadonlyMap<DispatcherId, (message: FromTargetMessage) => void>,
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

function handleMessage(
  runner: AttemptRunner,
  ledger: AttemptLedger,
  dispatcher: DispatcherId,
  send: (message: FromTargetMessage) => void,
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
      return;
  }
}

async function waitForAcknowledgements(
  sessions: () => readonly Session<FromTargetMessage, ToTargetMessage>[],
  timers: TimerService,
): Promise<void> {
  while (sessions().some(session => session.unacknowledged > 0)) {
    await new Promise<void>(resolve => {
      timers.after(acknowledgementPollMilliseconds, resolve);
    });
  }
}
