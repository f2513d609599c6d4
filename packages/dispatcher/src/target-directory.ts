/** The targets that are connected to this dispatcher, and the messages to and from them. */
import type { Logger } from '@cranberryturn/logger';
import { Counter, type Metrics } from '@cranberryturn/metrics';
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
  type AttemptResult,
  type AttemptStart,
  type ClusterConfiguration,
  type ConfigurationVersion,
  type JobId,
  type OwnershipEpoch,
  type Roster,
  type TargetId,
  type TargetIdentity,
  type TargetLoad,
} from '@cranberryturn/types';
import {
  FromTargetKind,
  type FromTargetMessage,
  type JobEvidence,
  type PeerIdentity,
  ToTargetKind,
  type ToTargetMessage,
} from '@cranberryturn/wire';

import {
  type ConnectedTarget,
  createConnectedTarget,
  describeRun,
  isBehind,
  sendSettings,
} from './connected-target.js';
import { EvidenceWaiters } from './evidence-waiters.js';
import { measureResult } from './measure-result.js';
import type { ControlPort } from './ports/control.js';
import { registerTarget } from './register-target.js';
import { TargetPresence } from './target-presence.js';

/** What a directory is built from. */
export interface TargetDirectoryOptions {
  readonly timers: TimerService;
  readonly times: SessionTimes;
  readonly control: ControlPort;
  readonly metrics: Metrics;
  readonly logger?: Logger | undefined;
  /** Hears each result before the scheduler does. */
  readonly resultReceived: (result: AttemptResult) => void;
}

/** Connects targets with the scheduler. */
export class TargetDirectory implements AttemptSender {
  readonly acceptor: SessionAcceptor<ToTargetMessage, FromTargetMessage>;
  readonly #options: TargetDirectoryOptions;
  readonly #targets = new Map<string, ConnectedTarget>();
  readonly #waiters: EvidenceWaiters;
  readonly #presence: TargetPresence;
  readonly #unsubscribe: () => void;
  #scheduler: Scheduler | undefined;
  #closed = false;
  #appliedVersion: ConfigurationVersion = 0;

  constructor(options: TargetDirectoryOptions) {
    this.#options = options;
    this.#waiters = new EvidenceWaiters(options.timers);
    this.#presence = new TargetPresence(options.timers);
    this.#unsubscribe = options.control.roster.subscribe(roster => {
      this.#followRoster(roster);
    });
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
    this.#targets.get(run)?.send(message);
    return this.#waiters.wait(run, message, timeoutMilliseconds);
  }

  /** Sends to each target what the configuration says of it. */
  applyConfiguration(configuration: ClusterConfiguration): void {
    this.#appliedVersion = configuration.version;
    for (const target of this.#targets.values()) {
      sendSettings(target, configuration);
    }
  }

  /** Whether the run has a session with this dispatcher. */
  isConnected(target: TargetIdentity): boolean {
    return this.#targets.has(describeRun(target));
  }

  /** Registered runs that have not confirmed what this version says of them. */
  listBehind(version: ConfigurationVersion): readonly TargetId[] {
    const isApplied = version <= this.#appliedVersion;
    return [...this.#targets.values()]
      .filter(target => target.record !== undefined)
      .filter(target => !isApplied || isBehind(target))
      .map(target => target.identity.targetId);
  }

  /** Registered runs that this dispatcher has not heard for their lease. */
  listSilent(roster: Roster): readonly TargetIdentity[] {
    return this.#presence.listSilent(roster);
  }

  close(): void {
    this.#closed = true;
    this.#unsubscribe();
    this.acceptor.close();
  }

  #startSession(
    peer: PeerIdentity,
    send: (message: ToTargetMessage) => void,
  ): SessionListener<FromTargetMessage> {
    const identity = { targetId: peer.name, incarnation: peer.incarnation };
    const target = createConnectedTarget(identity, send);
    this.#targets.set(describeRun(identity), target);
    this.#options.metrics.count(Counter.SessionsOpened);
    for (const message of this.#waiters.listWaiting(describeRun(identity))) {
      send(message);
    }
    const { metrics } = this.#options;
    return {
      messageReceived: message => {
        this.#handle(target, message);
      },
      connected: () => {
        this.#options.logger?.info('target connected', identity);
        if (target.suspected) metrics.count(Counter.SessionsResumed);
        target.suspected = false;
        this.#presence.noteHeard(identity);
        this.#resume(target);
      },
      suspected: () => {
        this.#options.logger?.warn('target suspected', identity);
        metrics.count(Counter.SessionsSuspected);
        target.suspected = true;
        this.#presence.noteSilent(identity);
        this.#scheduler?.targetSuspected(identity);
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
        void this.#register(target);
        return;
      case FromTargetKind.AttemptEnded:
        target.load = message.load;
        measureResult(this.#options.metrics, message.result);
        this.#options.resultReceived(message.result);
        this.#scheduler?.attemptEnded(
          target.identity,
          message.result,
          message.load,
        );
        return;
      case FromTargetKind.LoadReport:
        target.settingsVersion =
          message.settingsVersion ?? target.settingsVersion;
        this.#noteLoad(target, message.load);
        return;
      case FromTargetKind.Left:
        this.#forgetLeft(target);
        return;
      case FromTargetKind.JobEvidence:
        this.#waiters.settle(describeRun(target.identity), message.evidence);
        return;
    }
  }

  #noteLoad(target: ConnectedTarget, load: TargetLoad): void {
    target.load = load;
    if (target.record === undefined) return;
    this.#scheduler?.targetLoadReported(target.identity, load);
  }

  /** Takes work off runs that control took off the roster; those that are heard register again. */
  #followRoster(roster: Roster): void {
    const records = new Map(
      roster.targets.map(record => [describeRun(record), record]),
    );
    for (const target of this.#targets.values()) {
      const { record } = target;
      if (record === undefined) continue;
      const current = records.get(describeRun(target.identity));
      if (current?.registeredAt === record.registeredAt) continue;
      // The scheduler must not place by the earlier registration any more.
      target.record = undefined;
      this.#scheduler?.targetSuspected(target.identity);
      void this.#register(target);
    }
  }

  #resume(target: ConnectedTarget): void {
    if (target.record !== undefined) {
      this.#scheduler?.targetResumed(target.identity);
      return;
    }
    void this.#register(target);
  }

  /** Registers a run that is heard and not registered. */
  async #register(target: ConnectedTarget): Promise<void> {
    const { announcement, identity } = target;
    if (announcement === undefined || target.left) return;
    if (target.record !== undefined || target.registering) return;
    const { control, timers } = this.#options;
    target.registering = true;
    const record = await registerTarget({
      announcement,
      roster: control.roster,
      registry: control.registry,
      timers,
      isWanted: () => !this.#closed && this.#presence.isHeard(identity),
    });
    target.registering = false;
    if (record === undefined || target.load === undefined) return;
    target.record = record;
    sendSettings(target, control.configuration.current());
    this.#scheduler?.targetRegistered(record, target.load);
  }

  /** Says so to control, which needs no lease of the run any more. */
  #forgetLeft(target: ConnectedTarget): void {
    target.record = undefined;
    target.left = true;
    target.send({ kind: ToTargetKind.AcknowledgeLeft });
    this.#scheduler?.targetLost(target.identity);
    void this.#options.control.registry.retireTarget(target.identity);
  }

  #endSession(target: ConnectedTarget, reason: SessionEndReason): void {
    const run = describeRun(target.identity);
    this.#targets.delete(run);
    this.#presence.noteSilent(target.identity);
    if (reason === SessionEndReason.ClosedHere) return;
    this.#waiters.giveUp(run);
    this.#scheduler?.targetLost(target.identity);
  }
}
