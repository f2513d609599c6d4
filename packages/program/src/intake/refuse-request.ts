/** Sends a refusal on a connection whose requests are read no further. */
import type { IncomingMessage } from 'node:http';

import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

/** Closing at once would reset the connection, and the caller might lose the refusal. */
const lingerMilliseconds: Milliseconds = 1_000;
const lingerBytes = 65_536;

/** Status line and reason of a refusal. */
export interface Refusal {
  readonly status: string;
  readonly reason: string;
  /** Seconds after which the caller may come back. */
  readonly retryAfterSeconds?: number;
}

/** Sends `refusal` as the last response, discards a bounded part of the body, and closes the connection. */
export function refuseRequest(
  incoming: IncomingMessage,
  refusal: Refusal,
  timers: Pick<TimerService, 'after'>,
): void {
  const { socket } = incoming;
  socket.end(composeResponse(refusal));
  const lastByte = socket.bytesRead + lingerBytes;
  incoming.on('data', () => {
    if (socket.bytesRead > lastByte) socket.destroy();
  });
  const linger = timers.after(lingerMilliseconds, () => {
    socket.destroy();
  });
  socket.once('close', () => {
    linger.cancel();
  });
}

/** Composes a refusal in the JSON form of all refusals. */
export function composeResponse({
  status,
  reason,
  retryAfterSeconds,
}: Refusal): string {
  const body = JSON.stringify({ outcome: 'failed', reason, started: 'no' });
  const retryAfter =
    retryAfterSeconds === undefined
      ? []
      : [`retry-after: ${String(retryAfterSeconds)}`];
  return [
    `HTTP/1.1 ${status}`,
    'content-type: application/json',
    `content-length: ${String(Buffer.byteLength(body))}`,
    ...retryAfter,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}
