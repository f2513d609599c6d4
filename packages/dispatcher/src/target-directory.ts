/** The targets that are connected to this dispatcher, and the messages to and from them. */
import type { Logger } from '@cranberryturn/logger';
import {
  Counter,
  Distribution,
  type Metrics,
  WastedMessage,
} from '@cranberryturn/metrics';
import type { AttemptSender, Scheduler } from '@cranberryturn/scheduling';
import {
  acceptSessions,
  type SessionAcceptor,
  SessionEndReason,
  type SessionListener,
  type SessionTimes,
} from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import {
  type AttemptKey,
  AttemptOutcome,
  type AttemptResult,
  type AttemptStart,
  type ClusterConfiguration,
  type JobId,
  type OwnershipEpoch,
  type TargetAnnouncement,
  type TargetIdentity,
  type TargetLoad,
} from '@cranberryturn/types';
import {
  type DispatcherAddress,
  FromTargetKind,
  type FromTargetMessage,
  type JobEvidence,
  type PeerIdentity,
  ToTargetKind,
  type ToTargetMessage,
} from '@cranberryturn/wire';

import { EvidenceWaiters } from './evidence-waiters.js';
import type { ControlPort } from './ports/control.js';
import type { ApplySessionsMessage } from './session-subsets.js';
import { registerTarget } from './register-target.js';
import { findTargetSettings } from './target-settings.js';

/** One connected run of a sidecar. */
interface ConnectedTarget {
  readonly identity: TargetIdentity;
  readonly send: (message: ToTargetMessage) => void;
  announcement: TargetAnnouncement | undefined;
  load: TargetLoad | undefined;
  registered: boolean;
  settingsSent: string;
  sessionsSent: string;
  /** Whether the run says that it closes this session next. */
  left: boolean;
}

/** What a directory is built from. */
export interface TargetDirectoryOptions {
  readonly timers: TimerService;
  readonly times: SessionTimes;
  readonly control: ControlPort;
  readonly metrics: Metrics;
  readonly logger?: Logger | undefined;
  /** Tells the sessions that a registered target should have; undefined: as they are. */
  readonly describeSessions: (
    announcement: TargetAnnouncement,
  ) => ApplySessionsMessage | undefined;
  /** Asks a run without a session here to open one. */
  readonly inviteTarget: (
    target: TargetIdentity,
    timeoutMilliseconds: number,
  ) => void;
  /** Hears each result before the scheduler does. */
  readonly resultReceived: (result: AttemptResult) => void;
}

/** Connects targets with the scheduler. */
export class TargetDirectory implements AttemptSender {
  readonly acceptor: SessionAcceptor<ToTargetMessage, FromTargetMessage>;
  readonly #options: TargetDirectoryOptions;
  readonly #targets = new Map<string, ConnectedTarget>();
  readonly #waiters: EvidenceWaiters;
  #scheduler: Scheduler | undefined;
  #closed = false;

  constructor(options: TargetDirectoryOptions) {
    this.#options = options;
    this.#waiters = new EvidenceWaiters(options.timers);
    this.acceptor = acceptSessions<ToTargetMessage, FromTargetMessage>({
      timers: options.timers,
      times: options.times,
      startSession: (peer, send) => this.#startSession(peer, send),
    });
  }

  /** Connects the scheduler, which needs this directory as its sender. */
  attachScheduler(scheduler: Scheduler): void {
    this.#scheduler = scheduler;
  }

  startAttempt(target: TargetIdentity, attempt: AttemptStart): void {
    this.#options.metrics.count(Counter.TasksPlaced);
    this.#targets
      .get(describeRun(target))
      ?.send({ kind: ToTargetKind.StartAttempt, attempt });
  }

  cancelAttempts(
    target: TargetIdentity,
    attempts: readonly AttemptKey[],
    reason: string,
  ): void {
    this.#targets
      .get(describeRun(target))
      ?.send({ kind: ToTargetKind.CancelAttempts, attempts, reason });
  }

  askForLoad(target: TargetIdentity): void {
    this.#targets
      .get(describeRun(target))
      ?.send({ kind: ToTargetKind.AskForLoad });
  }

  /**
   * Fences a job at one run of a sidecar. Resolves with what that run knows,
   * or with undefined when it is gone or does not answer in time.
   */
  fenceJob(
    target: TargetIdentity,
    jobId: JobId,
    epoch: OwnershipEpoch,
    timeoutMilliseconds: number,
  ): Promise<JobEvidence | undefined> {
    const run = describeRun(target);
    const message: ToTargetMessage = {
      kind: ToTargetKind.FenceJob,
      jobId,
      epoch,
    };
    const connected = this.#targets.get(run);
    if (connected === undefined) {
      this.#options.inviteTarget(target, timeoutMilliseconds);
    }
    connected?.send(message);
    return this.#waiters.wait(run, message, timeoutMilliseconds);
  }

  /** Sends to each target what the configuration says of it. */
  applyConfiguration(configuration: ClusterConfiguration): void {
    for (const target of this.#targets.values()) {
      this.#sendSettings(target, configuration);
    }
  }

  /** Sends to each target which sessions it should have. */
  applyRoster(): void {
    for (const target of this.#targets.values()) this.#sendSessions(target);
  }

  /** Passes on that a dispatcher wants a session with runs that have one here. */
  inviteConnected(
    targets: readonly TargetIdentity[],
    dispatcher: DispatcherAddress,
  ): void {
    for (const target of targets) {
      this.#targets
        .get(describeRun(target))
        ?.send({ kind: ToTargetKind.OpenSession, dispatcher });
    }
  }

  /** Whether the run has a session with this dispatcher. */
  isConnected(target: TargetIdentity): boolean {
    return this.#targets.has(describeRun(target));
  }

  close(): void {
    this.#closed = true;
    this.acceptor.close();
  }

  #startSession(
    peer: PeerIdentity,
    send: (message: ToTargetMessage) => void,
  ): SessionListener<FromTargetMessage> {
    const identity = { targetId: peer.name, incarnation: peer.incarnation };
    const target: ConnectedTarget = {
      identity,
      send,
      announcement: undefined,
      load: undefined,
      registered: false,
      settingsSent: '',
      sessionsSent: '',
      left: false,
    };
    this.#targets.set(describeRun(identity), target);
    this.#options.metrics.count(Counter.SessionsOpened);
    for (const message of this.#waiters.listWaiting(describeRun(identity))) {
      send(message);
    }
    return {
      messageReceived: message => {
        this.#handle(target, message);
      },
      connected: () => {
        this.#options.logger?.info('target connected', identity);
        this.#scheduler?.targetResumed(identity);
      },
      suspected: () => {
        this.#options.logger?.warn('target suspected', identity);
        this.#scheduler?.targetSuspected(identity);
        if (target.left) this.acceptor.forget(peer);
      },
      ended: reason => {
        this.#endSession(target, reason);
      },
    };
  }

  #handle(target: ConnectedTarget, message: FromTargetMessage): void {
    switch (message.kind) {
      case FromTargetKind.Announce:
        target.announcement = message.announcement;
        target.load = message.load;
        void this.#register(target, message.announcement);
        return;
      case FromTargetKind.AttemptEnded:
        target.load = message.load;
        this.#measure(message.result);
        this.#options.resultReceived(message.result);
        this.#scheduler?.attemptEnded(
          target.identity,
          message.result,
          message.load,
        );
        return;
      case FromTargetKind.LoadReport:
        this.#noteLoad(target, message.load);
        return;
      case FromTargetKind.Left:
        this.#forgetLeft(target);
        return;
      case FromTargetKind.SessionLeft:
        target.left = true;
        this.#scheduler?.targetLost(target.identity);
        return;
      case FromTargetKind.JobEvidence:
        this.#waiters.settle(describeRun(target.identity), message.evidence);
        return;
    }
  }

  #noteLoad(target: ConnectedTarget, load: TargetLoad): void {
    target.load = load;
    if (!target.registered) return;
    this.#scheduler?.targetLoadReported(target.identity, load);
  }

  #measure(result: AttemptResult): void {
    const { metrics } = this.#options;
    switch (result.outcome) {
      case AttemptOutcome.Answered:
        metrics.count(Counter.TasksAnswered);
        break;
      case AttemptOutcome.Failed:
        metrics.count(Counter.TasksFailed);
        break;
      case AttemptOutcome.NotStarted:
        metrics.count(Counter.TasksNotStarted);
        metrics.countWasted(WastedMessage.RefusedStart);
        return;
    }
    metrics.record(Distribution.RunMilliseconds, result.runMilliseconds);
  }

  async #register(
    target: ConnectedTarget,
    announcement: TargetAnnouncement,
  ): Promise<void> {
    const { control, timers } = this.#options;
    const record = await registerTarget({
      announcement,
      roster: control.roster,
      registry: control.registry,
      timers,
      isWanted: () =>
        !this.#closed && this.#targets.has(describeRun(target.identity)),
    });
    if (record === undefined || target.load === undefined) return;
    target.registered = true;
    this.#sendSettings(target, control.configuration.current());
    this.#sendSessions(target);
    this.#scheduler?.targetRegistered(record, target.load);
  }

  #sendSettings(
    target: ConnectedTarget,
    configuration: ClusterConfiguration,
  ): void {
    if (target.announcement === undefined) return;
    const settings = findTargetSettings(configuration, target.announcement);
    const described = JSON.stringify(settings);
    if (described === target.settingsSent) return;
    target.settingsSent = described;
    target.send({
      kind: ToTargetKind.ApplySettings,
      version: configuration.version,
      ...settings,
    });
  }

  #sendSessions(target: ConnectedTarget): void {
    if (target.announcement === undefined || !target.registered) return;
    const message = this.#options.describeSessions(target.announcement);
    if (message === undefined) return;
    const described = JSON.stringify([
      message.dispatchers,
      message.leaveOthers,
    ]);
    if (described === target.sessionsSent) return;
    target.sessionsSent = described;
    target.send(message);
  }

  /** Says so to control, which needs no lease of the run any more. */
  #forgetLeft(target: ConnectedTarget): void {
    target.registered = false;
    target.send({ kind: ToTargetKind.AcknowledgeLeft });
    this.#scheduler?.targetLost(target.identity);
    void this.#options.control.registry.retireTarget(target.identity);
  }

  #endSession(target: ConnectedTarget, reason: SessionEndReason): void {
    const run = describeRun(target.identity);
    if (this.#targets.get(run) !== target) return;
    this.#targets.delete(run);
    if (target.left) return;
    if (reason === SessionEndReason.ClosedHere) return;
    this.#waiters.giveUp(run);
    this.#scheduler?.targetLost(target.identity);
  }
}

function describeRun(target: TargetIdentity): string {
  return `${target.targetId}/${target.incarnation}`;
}
