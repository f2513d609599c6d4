/** Suspends a process of a test, as a paused process: its timers and frames wait, and its clocks go on. */
import type { TimerService } from '@cranberryturn/timers';
import type { Connection, Network } from '@cranberryturn/wire';

/** The suspension of one process, which uses these timers and this network. */
export interface Suspension {
  readonly timers: TimerService;
  wrapNetwork(network: Network): Network;
  suspend(): void;
  resume(): void;
  /** Ends the process: it runs nothing any more, also not what waited for it. */
  end(): void;
}

/** Creates the suspension of a process that runs. */
export function createSuspension(timers: TimerService): Suspension {
  let pending: (() => void)[] | undefined;
  let hasEnded = false;
  const run = (callback: () => void): void => {
    if (hasEnded) return;
    if (pending === undefined) callback();
    else pending.push(callback);
  };
  const whenRunning = (): Promise<void> =>
    new Promise(resolve => {
      run(resolve);
    });
  const wrapConnection = (connection: Connection): Connection => ({
    ...connection,
    receive: async function* () {
      for await (const frame of connection.receive()) {
        if (pending !== undefined || hasEnded) await whenRunning();
        yield frame;
      }
    },
  });
  return {
    timers: {
      ...timers,
      after: (delay, callback) =>
        timers.after(delay, () => {
          run(callback);
        }),
      every: (period, callback) =>
        timers.every(period, () => {
          run(callback);
        }),
    },
    wrapNetwork: network => ({
      ...network,
      dial: address => network.dial(address).map(wrapConnection),
    }),
    suspend: () => {
      pending ??= [];
    },
    resume: () => {
      const due = pending ?? [];
      pending = undefined;
      for (const callback of due) run(callback);
    },
    end: () => {
      hasEnded = true;
      pending = undefined;
    },
  };
}
