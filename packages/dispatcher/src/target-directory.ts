/** Tracks the targets connected to this dispatcher, and exchanges messages with them. */
import { Counter } from '@cranberryturn/metrics';
import type { AttemptSender, Scheduler } from '@cranberryturn/scheduling';
import {
  acceptSessions,
  type SessionAcceptor,
  SessionEndReason,
  type SessionListener,
} from '@cranberryturn/sessions';
import {
  type AttemptKey,
  type AttemptStart,
  type ClusterConfiguration,
  type ConfigurationVersion,
  type JobId,
  type Milliseconds,
  type OwnershipEpoch,
  type Roster,
  type TargetId,
  type TargetIdentity,
  type TargetLoad,
} from '@cranberryturn/types';
import {
  type DispatcherAddress,
  FromTargetKind,
  type FromTargetMessage,
  isFromTargetMessage,
  type JobEvidence,
  type PeerIdentity,
  ToTargetKind,
  type ToTargetMessage,
} from '@cranberryturn/wire';

import {
  type ConnectedTarget,
  createConnectedTarget,
  formatRun,
  hasStoppedTakingWork,
  hasUnconfirmedSettings,
  recordConnected,
  recordSuspected,
  sendSessions,
  sendSettings,
} from './connected-target.js';
import { PendingFences } from './pending-fences.js';
import { recordResultMetrics } from './record-result-metrics.js';
import { registerTarget } from './register-target.js';
import type { TargetDirectoryOptions } from './target-directory-options.js';
import { TargetPresence } from './target-presence.js';

const invitationMilliseconds: Milliseconds = 3_000;

/** Registers connected targets, reports them to the scheduler and sends its attempts. */
export class TargetDirectory implements AttemptSender {
  readonly acceptor: SessionAcceptor<ToTargetMessage, FromTargetMessage>;
  readonly #options: TargetDirectoryOptions;
  readonly #targets = new Map<string, ConnectedTarget>();
  readonly #fences: PendingFences;
  readonly #presence: TargetPresence;
  readonly #unsubscribe: () => void;
  #scheduler: Scheduler | undefined;
  #isClosed = false;
  #appliedVersion: ConfigurationVersion = 0;

  constructor(options: TargetDirectoryOptions) {
    this.#options = options;
    this.#fences = new PendingFences(options.timers);
    this.#presence = new TargetPresence(options.timers);
    this.#unsubscribe = options.control.roster.subscribe(roster => {
      this.#reconcileRoster(roster);
    });
    this.acceptor = acceptSessions<ToTargetMessage, FromTargetMessage>({
      ...options,
      isMessage: isFromTargetMessage,
      startSession: (peer, send) => this.#startSession(peer, send),
    });
  }

  /** Connects the scheduler, which needs this directory as its sender. */
  attachScheduler(scheduler: Scheduler): void {
    this.#scheduler = scheduler;
  }

  startAttempt(target: TargetIdentity, attempt: AttemptStart): void {
    this.#options.metrics.count(Counter.TasksPlaced);
    this.#send(target, { kind: ToTargetKind.StartAttempt, attempt });
  }

  cancelAttempts(
    target: TargetIdentity,
    attempts: readonly AttemptKey[],
    reason: string,
  ): void {
    this.#send(target, { kind: ToTargetKind.CancelAttempts, attempts, reason });
  }

  askForLoad(target: TargetIdentity): void {
    this.#send(target, { kind: ToTargetKind.AskForLoad });
  }

  /**
   * Fences a job at one sidecar run. Resolves with the evidence of that run,
   * or with undefined when the run is lost or does not answer in time.
   */
  fenceJob(
    target: TargetIdentity,
    jobId: JobId,
    epoch: OwnershipEpoch,
    timeoutMilliseconds: number,
  ): Promise<JobEvidence | undefined> {
    const run = formatRun(target);
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
    return this.#fences.waitForEvidence(run, message, timeoutMilliseconds);
  }

  /** Sends each target its part of the configuration. */
  applyConfiguration(configuration: ClusterConfiguration): void {
    this.#appliedVersion = configuration.version;
    for (const target of this.#targets.values()) {
      sendSettings(target, configuration);
    }
  }

  /** Sends each target the sessions planned from the roster. */
  applyRoster(): void {
    for (const target of this.#targets.values()) this.#sendSessions(target);
  }

  /** Forwards the invitation of another dispatcher to runs that are reachable here. */
  forwardInvitations(
    targets: readonly TargetIdentity[],
    dispatcher: DispatcherAddress,
  ): void {
    for (const target of targets) {
      if (!this.#presence.isReachable(target)) continue;
      this.#send(target, { kind: ToTargetKind.OpenSession, dispatcher });
    }
  }

  /** Whether the run has a session with this dispatcher. */
  isConnected(target: TargetIdentity): boolean {
    return this.#targets.has(formatRun(target));
  }

  /** Lists registered runs that have not confirmed their settings of this configuration version. */
  listTargetsBehind(version: ConfigurationVersion): readonly TargetId[] {
    const isApplied = version <= this.#appliedVersion;
    return [...this.#targets.values()]
      .filter(target => target.record !== undefined)
      .filter(target => !isApplied || hasUnconfirmedSettings(target))
      .map(target => target.identity.targetId);
  }

  /** Whether the run has a session here over a responsive connection. */
  isReachable(target: TargetIdentity): boolean {
    return this.#presence.isReachable(target);
  }

  /** Lists registered runs that were unreachable from this dispatcher for a full lease. */
  listSilentTargets(roster: Roster): readonly TargetIdentity[] {
    return this.#presence.listSilent(roster);
  }

  close(): void {
    this.#isClosed = true;
    this.#unsubscribe();
    this.acceptor.close();
  }

  #send(target: TargetIdentity, message: ToTargetMessage): void {
    this.#targets.get(formatRun(target))?.send(message);
  }

  #startSession(
    peer: PeerIdentity,
    send: (message: ToTargetMessage) => void,
  ): SessionListener<FromTargetMessage> {
    const identity = { targetId: peer.name, incarnation: peer.incarnation };
    const target = createConnectedTarget(identity, send);
    this.#targets.set(formatRun(identity), target);
    this.#options.metrics.count(Counter.SessionsOpened);
    for (const message of this.#fences.listMessages(formatRun(identity))) {
      send(message);
    }
    return {
      messageReceived: message => {
        this.#handleMessage(target, message);
      },
      connected: () => {
        recordConnected(target, this.#options);
        this.#presence.markReachable(identity);
        this.#resume(target);
      },
      suspected: () => {
        recordSuspected(target, this.#options);
        this.#presence.markUnreachable(identity);
        this.#scheduler?.targetSuspected(identity);
        if (target.isLeavingSession) this.acceptor.endSession(peer);
        else this.#options.inviteTarget(identity, invitationMilliseconds);
      },
      ended: reason => {
        this.#endSession(target, reason);
      },
    };
  }

  #handleMessage(target: ConnectedTarget, message: FromTargetMessage): void {
    switch (message.kind) {
      case FromTargetKind.Announce:
        target.announcement = message.announcement;
        target.load = message.load;
        void this.#registerTarget(target);
        return;
      case FromTargetKind.AttemptEnded:
        target.load = message.load;
        recordResultMetrics(this.#options.metrics, message.result);
        this.#options.handleResult(message.result);
        this.#scheduler?.attemptEnded(
          target.identity,
          message.result,
          message.load,
        );
        return;
      case FromTargetKind.LoadReport:
        target.settingsVersion =
          message.settingsVersion ?? target.settingsVersion;
        this.#recordLoad(target, message.load);
        return;
      case FromTargetKind.Left:
        this.#retireTarget(target);
        return;
      case FromTargetKind.SessionLeft:
        target.record = undefined;
        target.isLeavingSession = true;
        this.#scheduler?.targetLost(target.identity);
        return;
      case FromTargetKind.JobEvidence:
        this.#fences.resolve(formatRun(target.identity), message.evidence);
        return;
    }
  }

  #recordLoad(target: ConnectedTarget, load: TargetLoad): void {
    target.load = load;
    if (target.record === undefined) return;
    this.#scheduler?.targetLoadReported(target.identity, load);
  }

  /** Stops placement on runs that control removed from the roster; reachable runs register again. */
  #reconcileRoster(roster: Roster): void {
    const records = new Map(
      roster.targets.map(record => [formatRun(record), record]),
    );
    for (const target of this.#targets.values()) {
      const { record } = target;
      if (record === undefined) continue;
      const current = records.get(formatRun(target.identity));
      if (current?.registeredAt === record.registeredAt) continue;
      // The scheduler must place no more tasks under the earlier registration.
      target.record = undefined;
      this.#scheduler?.targetSuspected(target.identity);
      void this.#registerTarget(target);
    }
  }

  #resume(target: ConnectedTarget): void {
    if (target.record === undefined) void this.#registerTarget(target);
    else this.#scheduler?.targetResumed(target.identity);
  }

  /** Registers a reachable run that is not registered. */
  async #registerTarget(target: ConnectedTarget): Promise<void> {
    const { announcement, identity } = target;
    if (announcement === undefined || hasStoppedTakingWork(target)) return;
    if (target.record !== undefined || target.isRegistering) return;
    const { control, timers } = this.#options;
    target.isRegistering = true;
    const record = await registerTarget({
      announcement,
      roster: control.roster,
      registry: control.registry,
      timers,
      isNeeded: () => !this.#isClosed && this.#presence.isReachable(identity),
    });
    target.isRegistering = false;
    if (record === undefined || target.load === undefined) return;
    target.record = record;
    sendSettings(target, control.configuration.current());
    this.#sendSessions(target);
    this.#scheduler?.targetRegistered(record, target.load);
  }

  #sendSessions(target: ConnectedTarget): void {
    if (target.record === undefined) return;
    const message = this.#options.describeSessions(target.record);
    if (message !== undefined) sendSessions(target, message);
  }

  /** Retires a stopped run at control, so that its lease need not expire first. */
  #retireTarget(target: ConnectedTarget): void {
    target.record = undefined;
    target.hasStopped = true;
    target.send({ kind: ToTargetKind.AcknowledgeLeft });
    this.#scheduler?.targetLost(target.identity);
    void this.#options.control.registry.retireTarget(target.identity);
  }

  #endSession(target: ConnectedTarget, reason: SessionEndReason): void {
    const run = formatRun(target.identity);
    if (this.#targets.get(run) !== target) return;
    this.#targets.delete(run);
    this.#presence.markUnreachable(target.identity);
    if (target.isLeavingSession) return;
    if (reason === SessionEndReason.ClosedHere) return;
    this.#fences.abandonRun(run);
    this.#scheduler?.targetLost(target.identity);
  }
}
