/**
 * Watches one control host for updates. When its proof of a leader with a majority becomes too old, all control hosts
 * are asked at once, and one with a newer proof is watched instead.
 */
import {
  rethrowLater,
  type TimerService,
  watchSuspension,
} from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import {
  type ControlCall,
  ControlMethod,
  type ControlNotice,
  ControlNoticeKind,
  type ControlReply,
  isControlReply,
  type PropagationTimes,
  type RemoteCalls,
} from '@cranberryturn/wire';

import type { ControlHost } from './control-host.js';
import { HostProof } from './host-proof.js';
import type { LatestState } from './latest-state.js';
import {
  LeaveReason,
  type WatchEvent,
  type WatchEventHandler,
  WatchEventKind,
} from './watch-events.js';

const noVersion = -1;

/** Dependencies of the watch. */
export interface WatchOptions {
  readonly timers: TimerService;
  readonly times: PropagationTimes;
  readonly hosts: () => readonly ControlHost[];
  readonly latest: LatestState;
  /** Position in the list of hosts at which the search starts. */
  readonly firstHostPosition: number;
  readonly handleEvent?: WatchEventHandler | undefined;
}

/** A running watch. */
export interface ControlWatch {
  /** To be called when a connection to a host has opened. */
  handleOpen(): void;
  handleNotice(host: ControlHost, notice: ControlNotice): void;
  /**
   * Local time until which the held publication is known to be the latest one; undefined before the first proof.
   */
  provedAt(): Milliseconds | undefined;
  stop(): void;
}

interface ConnectedHost {
  readonly host: ControlHost;
  readonly calls: RemoteCalls;
  readonly proof: HostProof;
}

/** Starts the watch, which runs until `stop`. */
export function watchControl(options: WatchOptions): ControlWatch {
  const { timers, times, latest } = options;
  const proofs = new WeakMap<RemoteCalls, HostProof>();
  const suspension = watchSuspension(timers);
  let suspensions = 0;
  let watched: ConnectedHost | undefined;
  let position = options.firstHostPosition;
  let provedAt: Milliseconds | undefined;
  let isSearching = false;
  let hasReportedNoHost = false;

  const computeAge = (time: Milliseconds | undefined): Milliseconds =>
    time === undefined ? Infinity : timers.now() - time;

  const report = (event: WatchEvent): void => {
    const age = provedAt === undefined ? undefined : computeAge(provedAt);
    options.handleEvent?.(event, age);
  };

  const connect = (host: ControlHost): ConnectedHost | undefined => {
    const calls = host.calls();
    if (calls === undefined) return undefined;
    const proof = proofs.get(calls) ?? new HostProof(calls, timers);
    proofs.set(calls, proof);
    return proof.isClosed ? undefined : { host, calls, proof };
  };

  const listConnected = (): readonly ConnectedHost[] =>
    options.hosts().flatMap(host => connect(host) ?? []);

  const composeCall = (isFull: boolean, isOnce: boolean): ControlCall => ({
    method: ControlMethod.Watch,
    configurationVersion: isFull
      ? noVersion
      : latest.configuration.current().version,
    rosterVersion: isFull ? noVersion : latest.roster.current().version,
    publicationVersion: isFull
      ? noVersion
      : latest.publication.current().version,
    evacuationVersion: isFull
      ? noVersion
      : latest.evacuations.current().version,
    asksForProofs: true,
    isOnce,
  });

  /** Asks for what has changed and for a proof. The watched host sends later changes too. */
  const ask = (connected: ConnectedHost, isFull = false): void => {
    const { calls, proof } = connected;
    const call = composeCall(isFull, connected.calls !== watched?.calls);
    const sentAt = timers.now();
    const suspensionsBefore = suspensions;
    proof.recordCall();
    void calls
      .call<ControlReply>(call, times.silenceMilliseconds, isControlReply)
      .map(() => {
        checkSuspension();
        // The clock does not show how long ago the call was sent.
        if (suspensionsBefore !== suspensions) return;
        proof.recordAnswer(sentAt);
        useProof(connected);
      });
  };

  const useProof = (connected: ConnectedHost): void => {
    const { proof, calls } = connected;
    if (proof.provedAt === undefined) return;
    const isNewer = proof.provedAt > (provedAt ?? -Infinity);
    if (isNewer) provedAt = proof.provedAt;
    if (calls === watched?.calls) return;
    const watchedAt = watched?.proof.provedAt;
    if (computeAge(watchedAt) <= times.suspicionMilliseconds) return;
    if (proof.provedAt < (watchedAt ?? -Infinity) + times.renewalMilliseconds)
      return;
    leaveHost(LeaveReason.ProofTooOld);
    watch(connected);
  };

  const leaveHost = (reason: LeaveReason): void => {
    if (watched === undefined) return;
    const left = watched;
    watched = undefined;
    report({
      kind: WatchEventKind.Left,
      controlHost: left.calls.connection.peer.name,
      reason,
    });
    // The host would go on sending updates.
    if (reason === LeaveReason.ProofTooOld) close(left);
  };

  const close = ({ host, proof }: ConnectedHost): void => {
    proof.isClosed = true;
    host.reconnect();
  };

  const watch = (connected: ConnectedHost): void => {
    watched = connected;
    hasReportedNoHost = false;
    report({
      kind: WatchEventKind.Watched,
      controlHost: connected.calls.connection.peer.name,
    });
    const { freshness } = connected.proof;
    if (freshness !== undefined) latest.applyNotice(freshness);
    ask(connected);
  };

  const watchNextHost = (): void => {
    const hosts = options.hosts();
    const start = position % Math.max(1, hosts.length);
    for (const host of [...hosts.slice(start), ...hosts.slice(0, start)]) {
      position += 1;
      const connected = connect(host);
      if (connected === undefined) continue;
      watch(connected);
      return;
    }
    if (hasReportedNoHost) return;
    hasReportedNoHost = true;
    report({ kind: WatchEventKind.NoHost });
  };

  /** Proofs and calls from before a suspension do not count: the clock of this process stood still meanwhile. */
  const checkSuspension = (): void => {
    if (suspension.check() === 0) return;
    suspensions += 1;
    provedAt = undefined;
    for (const { proof } of listConnected()) proof.discard();
    if (watched !== undefined) ask(watched);
  };

  const closeSilentConnections = (): void => {
    for (const connected of listConnected()) {
      const { calls, proof } = connected;
      if (!proof.isSilentFor(times.silenceMilliseconds)) continue;
      report({
        kind: WatchEventKind.Silent,
        controlHost: calls.connection.peer.name,
      });
      close(connected);
    }
  };

  const askIfDue = (connected: ConnectedHost, interval: Milliseconds): void => {
    if (timers.now() - connected.proof.askedAt >= interval) ask(connected);
  };

  const check = (): void => {
    checkSuspension();
    closeSilentConnections();
    if (watched !== undefined && connect(watched.host)?.calls !== watched.calls)
      leaveHost(LeaveReason.ConnectionEnded);
    if (watched === undefined) watchNextHost();
    const wasSearching = isSearching;
    isSearching =
      computeAge(watched?.proof.provedAt) > times.suspicionMilliseconds;
    if (!isSearching) {
      if (watched !== undefined) askIfDue(watched, times.renewalMilliseconds);
      return;
    }
    if (!wasSearching) report({ kind: WatchEventKind.Search });
    for (const connected of listConnected())
      askIfDue(connected, times.searchMilliseconds);
  };

  const checkSafely = (): void => {
    try {
      check();
    } catch (error) {
      rethrowLater(error);
    }
  };

  // Frames that arrived while this process was paused or behind are read before their senders count as silent.
  const timer = timers.every(times.checkMilliseconds, () => {
    timers.afterPendingEvents(checkSafely);
  });

  return {
    handleOpen: () => {
      if (watched === undefined) watchNextHost();
    },
    handleNotice: (host, notice) => {
      const connected = connect(host);
      if (connected === undefined) return;
      const isWatched = connected.calls === watched?.calls;
      switch (notice.kind) {
        case ControlNoticeKind.Freshness:
          checkSuspension();
          connected.proof.recordFreshness(notice);
          if (isWatched) latest.applyNotice(notice);
          useProof(connected);
          return;
        case ControlNoticeKind.ControlHosts:
        case ControlNoticeKind.Roster:
        case ControlNoticeKind.RosterChanges:
          // The lists of a host that is not watched may be older.
          if (!isWatched) return;
          break;
        case ControlNoticeKind.Configuration:
        case ControlNoticeKind.ConfigurationChanges:
        case ControlNoticeKind.Evacuations:
        case ControlNoticeKind.Publication:
          break;
      }
      if (!latest.applyNotice(notice)) ask(connected, true);
    },
    provedAt: () => {
      checkSuspension();
      return provedAt;
    },
    stop: () => {
      timer.cancel();
    },
  };
}
