/** Calls another host once, over a connection of its own. */
import type { ConnectionError, TimeoutError } from '@cranberryturn/errors';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, NetworkAddress } from '@cranberryturn/types';
import {
  type ControlNotice,
  dialWithin,
  type Network,
  serveRemoteCalls,
  type ShapeCheck,
} from '@cranberryturn/wire';
import { err, type Result } from 'neverthrow';

import type { PeerEnvelope } from './peer-protocol.js';

/** Dependencies of a call, and the timeout of its dial and of its answer. */
export interface HostCall {
  readonly network: Network;
  readonly timers: TimerService;
  readonly timeout: Milliseconds;
}

/** Dials the host, sends one message, and closes the connection after the reply or the timeout. */
export async function callHost<Reply>(
  { network, timers, timeout }: HostCall,
  address: NetworkAddress,
  message: PeerEnvelope | ControlNotice,
  isReply?: ShapeCheck,
): Promise<Result<Reply, ConnectionError | TimeoutError>> {
  const dialled = await dialWithin(network, timers, address, timeout);
  if (dialled.isErr()) return err(dialled.error);
  const calls = serveRemoteCalls(dialled.value, timers, {
    handleCall: () => Promise.resolve(undefined),
  });
  const reply = await calls.call<Reply>(message, timeout, isReply);
  calls.connection.close();
  return reply;
}
