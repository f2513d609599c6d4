/** Watches one control host, and moves on when its proof of a leader with a majority grows old. */
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import {
  type ControlCall,
  ControlMethod,
  type ControlNotice,
  ControlNoticeKind,
  type ControlReply,
  maximumProofAge,
  type RemoteCalls,
} from '@cranberryturn/wire';

import type { ControlHost } from './control-host.js';
import type { LatestState } from './hold-latest.js';

const watchTimeout: Milliseconds = 1_000;
const checkInterval: Milliseconds = 100;
/** Before the first host is watched, callers of this process wait for it. */
const firstCheckInterval: Milliseconds = 20;
const allVersions = -1;

/** What the watch needs. */
export interface WatchOptions {
  readonly timers: TimerService;
  readonly hosts: () => readonly ControlHost[];
  readonly latest: LatestState;
  readonly isStopped: () => boolean;
  /** Position in the list of hosts at which the search starts. */
  readonly firstHost: number;
  /** Called when another host is watched or none. */
  readonly handleMove?: (host: string | undefined) => void;
}

/** The watch. */
export interface ControlWatch {
  handleNotice(host: ControlHost, notice: ControlNotice): void;
  /** Time at which a leader with a majority was last proved; undefined before the first proof. */
  provedAt(): Milliseconds | undefined;
}

interface Watched {
  readonly host: ControlHost;
  readonly calls: RemoteCalls;
  /** Time from which the age of the proof counts. */
  freshAt: Milliseconds;
}

/** Starts the watch. */
export function watchControl(options: WatchOptions): ControlWatch {
  const { timers, latest } = options;
  let watched: Watched | undefined;
  let position = options.firstHost;
  let provedAt: Milliseconds | undefined;
  let reported: string | undefined;

  const subscribe = (calls: RemoteCalls, everything: boolean): void => {
    const call: ControlCall = {
      method: ControlMethod.Watch,
      configurationVersion: everything
        ? allVersions
        : latest.configuration.current().version,
      rosterVersion: everything ? allVersions : latest.roster.current().version,
      publicationVersion: everything
        ? allVersions
        : latest.publication.current().version,
    };
    void calls.call<ControlReply>(call, watchTimeout);
  };

  const leave = (): void => {
    const left = watched;
    watched = undefined;
    left?.host.reconnect();
  };

  const reportMove = (name: string | undefined): void => {
    if (name === reported) return;
    reported = name;
    options.handleMove?.(name);
  };

  const moveOn = (): void => {
    const hosts = options.hosts();
    const start = position % Math.max(1, hosts.length);
    const order = [...hosts.slice(start), ...hosts.slice(0, start)];
    for (const host of order) {
      position += 1;
      const calls = host.calls();
      if (calls === undefined) continue;
      watched = { host, calls, freshAt: timers.now() };
      reportMove(calls.connection.peer.name);
      subscribe(calls, false);
      return;
    }
    reportMove(undefined);
  };

  const check = (): void => {
    if (watched !== undefined && watched.host.calls() !== watched.calls) {
      watched = undefined;
    }
    if (
      watched !== undefined &&
      timers.now() - watched.freshAt > maximumProofAge
    ) {
      leave();
    }
    if (watched === undefined) moveOn();
  };

  const run = async (): Promise<void> => {
    while (!options.isStopped()) {
      check();
      const isFirst = provedAt === undefined;
      await sleep(timers, isFirst ? firstCheckInterval : checkInterval);
    }
  };

  const takeProof = (age: Milliseconds): void => {
    const at = timers.now() - age;
    if (watched !== undefined) watched.freshAt = Math.max(watched.freshAt, at);
    provedAt = Math.max(provedAt ?? at, at);
  };

  void run();
  return {
    provedAt: () => provedAt,
    handleNotice: (host, notice) => {
      if (watched?.host !== host) return;
      if (notice.kind === ControlNoticeKind.Freshness) {
        takeProof(notice.proofAgeMilliseconds);
      }
      if (!latest.take(notice)) subscribe(watched.calls, true);
    },
  };
}
