/** Keeps one connection to one control host: dials, serves, and dials again with backoff. */
import type { RandomSource } from '@cranberryturn/random';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import {
  chooseDialTimeout,
  type ControlNotice,
  dialWithin,
  isStartPeriod,
  type Network,
  type RemoteCalls,
  serveRemoteCalls,
} from '@cranberryturn/wire';

import { computeBackoff } from './compute-backoff.js';

const dialTimeout: Milliseconds = 1_000;
const firstPause: Milliseconds = 50;
const longestPause: Milliseconds = 2_000;

/** One control host as this process reaches it. */
export interface ControlHost {
  readonly address: NetworkAddress;
  /** The open connection; undefined while there is none. */
  calls(): RemoteCalls | undefined;
  /** Ends the connection, so that a fresh one is dialled. */
  reconnect(): void;
  stop(): void;
}

/** What the task of a host needs. */
export interface ControlHostOptions {
  readonly address: NetworkAddress;
  readonly network: Network;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly handleNotice: (host: ControlHost, notice: ControlNotice) => void;
}

/** Starts the task of one host. */
export function keepControlHost(options: ControlHostOptions): ControlHost {
  const { address, network, timers, random } = options;
  const startedAt = timers.now();
  let open: RemoteCalls | undefined;
  let stopped = false;

  const isStopped = (): boolean => stopped;

  const serve = async (): Promise<boolean> => {
    const timeout = chooseDialTimeout(timers.now() - startedAt, dialTimeout);
    const dialled = await dialWithin(network, timers, address, timeout);
    if (dialled.isErr()) return false;
    if (isStopped()) {
      dialled.value.close();
      return false;
    }
    const calls = serveRemoteCalls(dialled.value, timers, {
      handleCall: () => Promise.resolve(undefined),
      handleNotice: body => {
        options.handleNotice(host, body as ControlNotice);
      },
    });
    open = calls;
    await calls.ended;
    open = undefined;
    return true;
  };

  const run = async (): Promise<void> => {
    let failures = 0;
    while (!isStopped()) {
      const served = await serve();
      failures = served ? 0 : failures + 1;
      const isStarting = isStartPeriod(timers.now() - startedAt);
      const longest = computeBackoff(
        isStarting ? 0 : failures,
        firstPause,
        longestPause,
      );
      await sleep(timers, longest * (0.5 + random.fraction() / 2));
    }
  };

  const host: ControlHost = {
    address,
    calls: () => open,
    reconnect: () => {
      open?.connection.close();
    },
    stop: () => {
      stopped = true;
      open?.connection.close();
    },
  };
  void run();
  return host;
}
