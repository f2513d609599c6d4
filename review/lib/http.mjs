/** One HTTP/1.1 call on a connection of its own. */
import { request } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

/** Resolves with status and text; rejects when the connection fails or `timeout` milliseconds have passed. */
export function call({
  host,
  port,
  method = 'GET',
  path,
  headers = {},
  body,
  timeout = 5000,
  opened,
}) {
  return new Promise((resolve, reject) => {
    const outgoing = request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
          ...headers,
        },
      },
      incoming => {
        const parts = [];
        incoming.on('data', part => parts.push(part));
        incoming.once('end', () => {
          clearTimeout(expiry);
          resolve({
            status: incoming.statusCode,
            headers: incoming.headers,
            text: parts.map(String).join(''),
          });
        });
        incoming.once('error', reject);
      },
    );
    const expiry = setTimeout(() => {
      outgoing.destroy(new Error('no response in time'));
    }, timeout);
    outgoing.once('error', error => {
      clearTimeout(expiry);
      reject(error);
    });
    opened?.(outgoing);
    outgoing.end(body);
  });
}
