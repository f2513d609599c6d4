/** The processes of a cluster in one process, of which tests can suspend each. */
import type { TimerService } from '@cranberryturn/timers';
import {
  createSuspension,
  type Network,
  type PeerIdentity,
  type Suspension,
} from '@cranberryturn/wire';

/** Timers, networks and suspensions by the name of a process. */
export interface SuspendableProcesses {
  /** Returns the timers of the next run of a process. */
  start(name: string): TimerService;
  /** Joins the network as a process that was started. */
  join(self: PeerIdentity): Network;
  /** Throws unless the process was started and can be suspended. */
  suspension(name: string): Suspension;
}

/** Processes that are not suspendable use the timers and the network as they are. */
export function createSuspendableProcesses(
  timers: TimerService,
  network: { join(self: PeerIdentity): Network },
  isSuspendable: boolean,
): SuspendableProcesses {
  const suspensions = new Map<string, Suspension>();
  return {
    start: name => {
      if (!isSuspendable) return timers;
      const suspension = createSuspension(timers);
      suspensions.set(name, suspension);
      return suspension.timers;
    },
    join: self => {
      const joined = network.join(self);
      return suspensions.get(self.name)?.wrapNetwork(joined) ?? joined;
    },
    suspension: name => {
      const suspension = suspensions.get(name);
      if (suspension !== undefined) return suspension;
      throw new Error(`${name} cannot be suspended.`);
    },
  };
}
