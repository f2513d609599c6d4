// Requests of clients, the operator and the balancer.
import { Buffer } from 'node:buffer';
import { Agent, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';

/**
 * Sends one request. Resolves with the status, or with `error`, once the response is whole or the connection has ended.
 * `cut` is called with a function that breaks the connection.
 */
export function send({
  ip,
  port,
  method,
  path,
  host,
  body,
  headers = {},
  timeout = 30000,
  agent,
  cut,
}) {
  return new Promise(resolve => {
    const sentAt = performance.now();
    const finish = result => {
      resolve({ ...result, tookMs: Math.round(performance.now() - sentAt) });
    };
    const outgoing = request({
      host: ip,
      port,
      method,
      path,
      agent: agent ?? new Agent({ keepAlive: false }),
      headers: {
        ...(host === undefined ? {} : { host }),
        ...(body === undefined
          ? {}
          : {
              'content-type': 'application/json',
              'content-length': Buffer.byteLength(body),
            }),
        ...headers,
      },
    });
    const expiry = setTimeout(() => {
      outgoing.destroy(new Error('no response in time'));
    }, timeout);
    cut?.(() => outgoing.destroy(new Error('connection broken')));
    outgoing.on('error', error => {
      clearTimeout(expiry);
      finish({ status: undefined, error: error.message });
    });
    outgoing.on('response', response => {
      const chunks = [];
      response.on('data', chunk => chunks.push(chunk));
      response.on('error', error => {
        finish({ status: undefined, error: error.message });
      });
      response.on('end', () => {
        clearTimeout(expiry);
        finish({
          status: response.statusCode,
          text: Buffer.concat(chunks).toString(),
        });
      });
    });
    outgoing.end(body);
  });
}
