/** A dispatcher controlled by a test, to which sidecars connect. */
import { acceptSessions } from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  NetworkAddress,
  RunEnd,
  RunOrder,
} from '@cranberryturn/types';
import {
  FromWorkerKind,
  type FromWorkerMessage,
  type MemoryNetwork,
  ProcessRole,
  type ToWorkerBody,
  ToWorkerKind,
  type ToWorkerMessage,
} from '@cranberryturn/wire';

/** Resources of each task in these tests. */
export const oneProcessor = {
  processors: 1,
  memoryMebibytes: 64,
  accelerators: 0,
};

/** Session times of all processes of a test. */
export const times = { heartbeatMilliseconds: 300, suspicionMilliseconds: 700 };

/** A dispatcher controlled by a test. */
export interface FakeDispatcher {
  readonly name: string;
  /** Ends of runs that it has received. */
  readonly ends: RunEnd[];
  readonly received: FromWorkerMessage[];
  /** Whether it renews its lease with each stamp that it receives. */
  isRenewingLease: boolean;
  /** Stamp in the last message that it sent. */
  readonly sentEcho: Milliseconds;
  /** Sends a message with the latest stamp as echo. */
  send(body: ToWorkerBody): void;
  /** Sends a placement order; fields that are not given have default values. */
  place(order: Partial<RunOrder> & { readonly jobId: string }): void;
}

/** Starts a dispatcher that listens at the address. */
export async function startFakeDispatcher(options: {
  readonly timers: TimerService;
  readonly network: MemoryNetwork;
  readonly name: string;
  readonly address: NetworkAddress;
}): Promise<FakeDispatcher> {
  const { timers, network, name, address } = options;
  let sendMessage: (message: ToWorkerMessage) => void = () => undefined;
  let echo: Milliseconds = 0;
  let sentEcho: Milliseconds = 0;
  const dispatcher: FakeDispatcher = {
    name,
    ends: [],
    received: [],
    isRenewingLease: true,
    get sentEcho() {
      return sentEcho;
    },
    send: body => {
      sentEcho = echo;
      sendMessage({ ...body, echo });
    },
    place: order => {
      dispatcher.send({
        kind: ToWorkerKind.PlaceRuns,
        order: {
          requestId: order.jobId,
          dispatcher: name,
          service: 'register',
          specification: 'text',
          need: oneProcessor,
          priority: 1,
          estimatedMilliseconds: 100,
          dueMilliseconds: 500,
          remainingMilliseconds: 5_000,
          mayWait: true,
          tasks: [{ taskId: '0.0.0', run: 1 }],
          ...order,
        },
      });
    },
  };
  const acceptor = acceptSessions<ToWorkerMessage, FromWorkerMessage>({
    timers,
    times,
    startSession: (_peer, send) => {
      sendMessage = send;
      echo = 0;
      return {
        messageReceived: message => {
          dispatcher.received.push(message);
          echo = message.stamp;
          if (message.kind === FromWorkerKind.RunsEnded)
            dispatcher.ends.push(...message.ends);
          if (dispatcher.isRenewingLease)
            dispatcher.send({ kind: ToWorkerKind.Heartbeat });
        },
        connected: () => undefined,
        suspected: () => undefined,
        ended: () => undefined,
      };
    },
  });
  await network
    .join({
      role: ProcessRole.Dispatcher,
      name,
      incarnation: `${name}/1`,
    })
    .listen(address, connection => void acceptor.acceptConnection(connection));
  return dispatcher;
}
