/**
 * Starts a single control replica for measurements, with a log in real files and a network in
 * memory.
 */
import {
  type ControlClient,
  createControlClient,
} from '@cranberryturn/control-client';
import { createSilentLogger } from '@cranberryturn/logger';
import { createRandomSource } from '@cranberryturn/random';
import {
  createFileLogDisk,
  MemberRole,
  openReplicatedLog,
  ReplicaRole,
  StartKind,
} from '@cranberryturn/replicated-log';
import {
  createSystemTimerService,
  sleep,
  type TimerService,
} from '@cranberryturn/timers';
import { emptyConfiguration, type Milliseconds } from '@cranberryturn/types';
import {
  createMemoryNetwork,
  type Network,
  ProcessRole,
  wrapConnections,
} from '@cranberryturn/wire';

import type { ControlNode } from '../control-node.js';
import { startControl } from '../start-control.js';
import { delaySyncs } from './delayed-disk.js';

const replicaId = 'c1';
const pollIntervalMilliseconds: Milliseconds = 5;

/** Frames and bytes sent so far over the network. */
export interface TrafficCount {
  frames: number;
  bytes: number;
}

/** A running replica and its network. */
export interface MeasuredControl {
  readonly timers: TimerService;
  readonly node: ControlNode;
  /** Traffic between control and its clients, in both directions. */
  readonly traffic: TrafficCount;
  connect(dispatcherId: string): ControlClient;
  stop(): Promise<void>;
}

/** Starts the replica and waits until the replica leads and has its initial configuration. */
export async function startMeasuredControl(options: {
  readonly folder: string;
  /** Delay added to each sync of the log. */
  readonly syncDelay: Milliseconds;
}): Promise<MeasuredControl> {
  const timers = createSystemTimerService();
  const network = createMemoryNetwork(timers);
  const traffic: TrafficCount = { frames: 0, bytes: 0 };
  const join = (role: ProcessRole, name: string): Network =>
    countTraffic(network.join({ role, name, incarnation: 'run-1' }), traffic);
  const started = await startControl({
    listen: { address: '127.0.0.1', port: 0 },
    joinNetwork: name => join(ProcessRole.Control, name),
    timers,
    openLog: (stateMachine, link) =>
      openReplicatedLog({
        disk: delaySyncs(
          createFileLogDisk(options.folder),
          timers,
          options.syncDelay,
        ),
        link,
        stateMachine,
        timers,
        random: createRandomSource(1),
        start: {
          kind: StartKind.Bootstrap,
          replicaId,
          members: [{ replicaId, role: MemberRole.Voter, address: '' }],
        },
      }),
    peers: [],
    initialConfiguration: emptyConfiguration,
    logger: createSilentLogger(),
    decisions: () => undefined,
  });
  if (started.isErr()) throw started.error;
  const node = started.value;
  while (
    node.log.status().role !== ReplicaRole.Leader ||
    node.state.configuration.configuration.version === 0
  ) {
    await sleep(timers, pollIntervalMilliseconds);
  }
  let seed = 1;
  return {
    timers,
    node,
    traffic,
    connect: dispatcherId =>
      createControlClient({
        network: join(ProcessRole.Dispatcher, dispatcherId),
        timers,
        random: createRandomSource(seed++),
        self: { dispatcherId, incarnation: 'run-1' },
        controlHosts: [{ replicaId, address: node.address }],
      }),
    stop: () => node.stop(),
  };
}

/** Wraps a network so that each sent frame is counted. */
function countTraffic(network: Network, traffic: TrafficCount): Network {
  const count = <Sender extends { send(frame: Uint8Array): void }>(
    connection: Sender,
  ): Sender => ({
    ...connection,
    send: (frame: Uint8Array) => {
      traffic.frames += 1;
      traffic.bytes += frame.byteLength;
      connection.send(frame);
    },
  });
  return wrapConnections(network, count);
}
