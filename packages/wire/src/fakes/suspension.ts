/** Suspends a process of a test, as a paused process: its timers and frames wait, and its clocks go on. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import { ResultAsync } from 'neverthrow';

import type { Connection, Network } from '../ports/connection.js';

type DialResult = Awaited<ReturnType<Network['dial']>>;

/** The suspension of one process, which uses these timers and this network. */
export interface Suspension {
  readonly timers: TimerService;
  readonly hasEnded: boolean;
  wrapNetwork(network: Network): Network;
  /** Delays a reply from outside until this process reads it. */
  receive<Reply, Failure>(
    reply: ResultAsync<Reply, Failure>,
  ): ResultAsync<Reply, Failure>;
  suspend(): void;
  /** Reads what has arrived while timers still wait, as a process that was paused between two reads. */
  read(): void;
  resume(): void;
  /** Ends the process: it runs nothing any more, also not what waited for it. */
  end(): void;
}

/** Creates the suspension of a process that runs. Its monotonic clock shows `clockStart` now, that of the test by default. */
export function createSuspension(
  timers: TimerService,
  clockStart: Milliseconds = timers.now(),
): Suspension {
  const clockOffset = clockStart - timers.now();
  let pending: (() => void)[] | undefined;
  let pendingReads: (() => void)[] | undefined;
  let hasEnded = false;
  const run = (callback: () => void): void => {
    if (hasEnded) return;
    if (pending === undefined) callback();
    else pending.push(callback);
  };
  const whenReading = (): Promise<void> =>
    new Promise(resolve => {
      if (!hasEnded) pendingReads?.push(resolve);
    });
  const read = (): void => {
    const due = pendingReads ?? [];
    pendingReads = undefined;
    for (const callback of due) callback();
  };
  const wrapConnection = (connection: Connection): Connection => ({
    ...connection,
    send: frame => {
      if (!hasEnded) connection.send(frame);
    },
    close: reason => {
      if (!hasEnded) connection.close(reason);
    },
    receive: async function* () {
      for await (const frame of connection.receive()) {
        if (pendingReads !== undefined || hasEnded) await whenReading();
        yield frame;
      }
    },
  });
  const dial = async (
    network: Network,
    address: NetworkAddress,
  ): Promise<DialResult> => {
    const dialled = await network.dial(address);
    if (!hasEnded) return dialled.map(wrapConnection);
    if (dialled.isOk()) dialled.value.close();
    return await new Promise<never>(() => undefined);
  };
  const receive = <Reply, Failure>(
    reply: ResultAsync<Reply, Failure>,
  ): ResultAsync<Reply, Failure> =>
    new ResultAsync(
      (async () => {
        const result = await reply;
        if (pendingReads !== undefined || hasEnded) await whenReading();
        return result;
      })(),
    );
  return {
    get hasEnded() {
      return hasEnded;
    },
    timers: {
      ...timers,
      now: () => timers.now() + clockOffset,
      after: (delay, callback) =>
        timers.after(delay, () => {
          run(callback);
        }),
      afterPendingEvents: callback =>
        timers.afterPendingEvents(() => {
          run(callback);
        }),
      every: (period, callback) =>
        timers.every(period, () => {
          run(callback);
        }),
    },
    wrapNetwork: network => ({
      ...network,
      dial: address => new ResultAsync(dial(network, address)),
      listen: (address, handler) =>
        network.listen(address, connection => {
          run(() => {
            handler(wrapConnection(connection));
          });
        }),
    }),
    receive,
    suspend: () => {
      pending ??= [];
      pendingReads ??= [];
    },
    read,
    resume: () => {
      const due = pending ?? [];
      pending = undefined;
      for (const callback of due) run(callback);
      read();
    },
    end: () => {
      hasEnded = true;
      pending = undefined;
      pendingReads = undefined;
    },
  };
}
