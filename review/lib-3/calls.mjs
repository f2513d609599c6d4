/** HTTP calls of clients and operators. */
import { Buffer } from 'node:buffer';
import { Agent, request } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

const noKeepAlive = () => new Agent({ keepAlive: false });

/** Sends one request; resolves with status and text, or with `status` 0 when no whole response came. */
export function call({
  address,
  port,
  method,
  path,
  headers = {},
  body,
  timeout = 5_000,
  agent,
  abort,
}) {
  return new Promise(resolve => {
    const own = agent ?? noKeepAlive();
    const text = body === undefined ? undefined : JSON.stringify(body);
    const outgoing = request(
      {
        host: address,
        port,
        method,
        path,
        agent: own,
        headers: {
          ...(text === undefined
            ? {}
            : {
                'content-type': 'application/json',
                'content-length': String(Buffer.byteLength(text)),
              }),
          ...headers,
        },
      },
      incoming => {
        let received = '';
        incoming.setEncoding('utf8');
        incoming.on('data', chunk => {
          received += chunk;
        });
        incoming.on('end', () => {
          done({ status: incoming.statusCode, text: received });
        });
        incoming.on('error', () => done({ status: 0, text: '' }));
      },
    );
    const expiry = setTimeout(() => {
      outgoing.destroy();
      done({ status: 0, text: 'no response in time' });
    }, timeout);
    let isDone = false;
    const done = result => {
      if (isDone) return;
      isDone = true;
      clearTimeout(expiry);
      if (agent === undefined) own.destroy();
      resolve(result);
    };
    outgoing.on('error', error => {
      done({ status: 0, text: error.message });
    });
    abort?.(() => {
      outgoing.destroy();
      done({ status: 0, text: 'client left' });
    });
    outgoing.end(text);
  });
}

/** Composes a configuration as in the pages' example, with one queue for each entry of `queues`. */
export function composeConfiguration(
  version,
  queues,
  { service = 'svc', idle = 0 } = {},
) {
  const route = (name, host, pathPrefix, more = {}) => ({
    name,
    host,
    path_prefix: pathPrefix,
    kind: 'non_idempotent',
    timeout_ms: 1500,
    target_latency_ms: 60,
    priority: 1,
    service,
    max_attempts: 4,
    slack_factor: 1.6,
    ...more,
  });
  return {
    version,
    routes: [
      ...queues.map(({ name, host, prefix, ...more }) =>
        route(name, host, prefix, more),
      ),
      ...Array.from({ length: idle }, (_, one) =>
        route(`r-idle${one}`, `idle${one % 97}.example`, `/idle${one}/`),
      ),
    ],
    services: [
      {
        name: service,
        health_path: '/healthz',
        max_connections: 64,
        protocol: 'h1',
        tls: false,
        rejects_overload: false,
        standby: false,
      },
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: 262144,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
  };
}

/** Sends an order until it is acknowledged, to one control host after the other, with a growing pause after each round. */
export async function publish(
  hosts,
  port,
  configuration,
  { until, timeout = 1_000 },
) {
  let pause = 50;
  for (let attempt = 0; Date.now() < until; attempt += 1) {
    const reply = await call({
      address: hosts[attempt % hosts.length],
      port,
      method: 'PUT',
      path: '/cranberryturn/config',
      body: configuration,
      timeout,
    });
    if (reply.status === 200) return reply;
    if ([400, 409, 412, 413, 422].includes(reply.status)) return reply;
    await new Promise(resolve => setTimeout(resolve, pause));
    pause = Math.min(1_000, pause * 1.5);
  }
  return { status: 0, text: 'not acknowledged' };
}
