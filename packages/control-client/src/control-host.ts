/**
 * Maintains the connection to one control host: dials, serves notices, and dials again with
 * backoff.
 */
import type { RandomSource } from '@cranberryturn/random';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import {
  chooseDialTimeout,
  type ControlNotice,
  dialWithin,
  isControlNotice,
  isStartupPeriod,
  type Network,
  type PropagationTimes,
  type RemoteCalls,
  requireShape,
  serveRemoteCalls,
} from '@cranberryturn/wire';

import { computeBackoff } from './compute-backoff.js';

const initialBackoffMilliseconds: Milliseconds = 50;

/** A control host and the connection to it. */
export interface ControlHost {
  readonly address: NetworkAddress;
  /** Returns the open connection; undefined while there is none. */
  calls(): RemoteCalls | undefined;
  /** Closes the connection, so that a new one is dialled. */
  reconnect(): void;
  stop(): void;
}

/** Dependencies of a connection. */
export interface ControlHostOptions {
  readonly address: NetworkAddress;
  readonly network: Network;
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly times: PropagationTimes;
  /** Called when a connection has opened. */
  readonly handleOpen?: () => void;
  readonly handleNotice: (host: ControlHost, notice: ControlNotice) => void;
}

/**
 * Starts to dial a control host and keeps the connection until `stop`. The backoff does not grow
 * during the start period of this process.
 */
export function connectControlHost(options: ControlHostOptions): ControlHost {
  const { address, network, timers, random, times } = options;
  const startedAt = timers.now();
  let openCalls: RemoteCalls | undefined;
  let stopped = false;

  const isStopped = (): boolean => stopped;

  const serveConnection = async (): Promise<boolean> => {
    const timeout = chooseDialTimeout(
      timers.now() - startedAt,
      times.dialMilliseconds,
    );
    const dialled = await dialWithin(network, timers, address, timeout);
    if (dialled.isErr()) return false;
    if (isStopped()) {
      dialled.value.close();
      return false;
    }
    const calls = serveRemoteCalls(dialled.value, timers, {
      handleCall: () => Promise.resolve(undefined),
      handleNotice: body => {
        const peer = calls.connection.peer.name;
        options.handleNotice(
          host,
          requireShape<ControlNotice>(body, isControlNotice, peer),
        );
      },
    });
    openCalls = calls;
    options.handleOpen?.();
    await calls.ended;
    openCalls = undefined;
    return true;
  };

  const keepConnected = async (): Promise<void> => {
    let failures = 0;
    while (!isStopped()) {
      const wasConnected = await serveConnection();
      failures = wasConnected ? 0 : failures + 1;
      const isStarting = isStartupPeriod(timers.now() - startedAt);
      const backoff = computeBackoff(
        isStarting ? 0 : failures,
        initialBackoffMilliseconds,
        times.maximumBackoffMilliseconds,
      );
      await sleep(timers, backoff * (0.5 + random.fraction() / 2));
    }
  };

  const host: ControlHost = {
    address,
    calls: () => openCalls,
    reconnect: () => {
      openCalls?.connection.close();
    },
    stop: () => {
      stopped = true;
      openCalls?.connection.close();
    },
  };
  void keepConnected();
  return host;
}
