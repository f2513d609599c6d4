/** The targets that are connected to this dispatcher, and the messages to and from them. */
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
  type JobEvidence,
  type PeerIdentity,
  ToTargetKind,
  type ToTargetMessage,
} from '@cranberryturn/wire';

import {
  type ConnectedTarget,
  createConnectedTarget,
  describeRun,
  hasLeft,
  isBehind,
  noteConnected,
  noteSuspected,
  sendSessions,
  sendSettings,
} from './connected-target.js';
import { EvidenceWaiters } from './evidence-waiters.js';
import { measureResult } from './measure-result.js';
import { registerTarget } from './register-target.js';
import type { TargetDirectoryOptions } from './target-directory-options.js';
import { TargetPresence } from './target-presence.js';

const invitationMilliseconds: Milliseconds = 3_000;

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
    this.#appliedVersion = configuration.version;
    for (const target of this.#targets.values()) {
      sendSettings(target, configuration);
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
      if (!this.#presence.isHeard(target)) continue;
      this.#send(target, { kind: ToTargetKind.OpenSession, dispatcher });
    }
  }

  /** Whether the run has a session with this dispatcher. */
  isConnected(target: TargetIdentity): boolean {
    return this.#targets.has(describeRun(target));
  }

  /** Registered runs that have not confirmed what this version says of them. */
  listTargetsBehind(version: ConfigurationVersion): readonly TargetId[] {
    const isApplied = version <= this.#appliedVersion;
    return [...this.#targets.values()]
      .filter(target => target.record !== undefined)
      .filter(target => !isApplied || isBehind(target))
      .map(target => target.identity.targetId);
  }

  /** Whether the run has a session here that is not silent. */
  isHeard(target: TargetIdentity): boolean {
    return this.#presence.isHeard(target);
  }

  /** Registered runs that this dispatcher has not heard for their lease. */
  listSilentTargets(roster: Roster): readonly TargetIdentity[] {
    return this.#presence.listSilent(roster);
  }

  close(): void {
    this.#closed = true;
    this.#unsubscribe();
    this.acceptor.close();
  }

  #send(target: TargetIdentity, message: ToTargetMessage): void {
    this.#targets.get(describeRun(target))?.send(message);
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
    return {
      messageReceived: message => {
        this.#handle(target, message);
      },
      connected: () => {
        noteConnected(target, this.#options);
        this.#presence.noteHeard(identity);
        this.#resume(target);
      },
      suspected: () => {
        noteSuspected(target, this.#options);
        this.#presence.noteSilent(identity);
        this.#scheduler?.targetSuspected(identity);
        if (target.sessionLeft) this.acceptor.forget(peer);
        else this.#options.inviteTarget(identity, invitationMilliseconds);
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
      case FromTargetKind.SessionLeft:
        target.record = undefined;
        target.sessionLeft = true;
        this.#scheduler?.targetLost(target.identity);
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
    if (target.record === undefined) void this.#register(target);
    else this.#scheduler?.targetResumed(target.identity);
  }

  /** Registers a run that is heard and not registered. */
  async #register(target: ConnectedTarget): Promise<void> {
    const { announcement, identity } = target;
    if (announcement === undefined || hasLeft(target)) return;
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
    this.#sendSessions(target);
    this.#scheduler?.targetRegistered(record, target.load);
  }

  #sendSessions(target: ConnectedTarget): void {
    if (target.record === undefined) return;
    const message = this.#options.describeSessions(target.record);
    if (message !== undefined) sendSessions(target, message);
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
    if (this.#targets.get(run) !== target) return;
    this.#targets.delete(run);
    this.#presence.noteSilent(target.identity);
    if (target.sessionLeft) return;
    if (reason === SessionEndReason.ClosedHere) return;
    this.#waiters.giveUp(run);
    this.#scheduler?.targetLost(target.identity);
  }
}
