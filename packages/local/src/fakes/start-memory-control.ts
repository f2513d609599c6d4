/** A control replica with an in-memory log. */
import {
  type ControlNode,
  createMemoryLog,
  startControl,
} from '@cranberryturn/control';
import { createSilentLogger } from '@cranberryturn/logger';
import { type ManualTimerService, sleep } from '@cranberryturn/timers';
import type {
  ClusterConfiguration,
  Decision,
  Milliseconds,
  NetworkAddress,
} from '@cranberryturn/types';
import { type MemoryNetwork, ProcessRole } from '@cranberryturn/wire';
import { okAsync, ResultAsync } from 'neverthrow';

const loopback: NetworkAddress = { address: '127.0.0.1', port: 0 };

/** Starts control; each entry takes `commitMilliseconds` to commit. */
export async function startMemoryControl(
  timers: ManualTimerService,
  network: MemoryNetwork,
  record: (decision: Decision) => void,
  initialConfiguration: ClusterConfiguration,
  commitMilliseconds: Milliseconds,
): Promise<ControlNode> {
  const started = await startControl({
    listen: loopback,
    joinNetwork: name =>
      network.join({ role: ProcessRole.Control, name, incarnation: 'run' }),
    timers,
    peers: [],
    openLog: stateMachine => {
      const log = createMemoryLog({
        replicaId: 'control-1',
        stateMachine,
        timers,
      });
      if (commitMilliseconds === 0) return okAsync(log);
      return okAsync({
        ...log,
        propose: command =>
          ResultAsync.fromSafePromise(
            sleep(timers, commitMilliseconds),
          ).andThen(() => log.propose(command)),
      });
    },
    initialConfiguration,
    logger: createSilentLogger(),
    decisions: record,
  });
  return started._unsafeUnwrap();
}
