/** A worker as the pages describe it: one life after the other at one address. */
import { Buffer } from 'node:buffer';
import { Agent, createServer, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';

const holdMax = 1_000;
const now = () => performance.now();

/**
 * Starts a worker. `observe` is called for each start and each end. `duration` tells how long a task works, by its `spec`.
 * `fate` may delay an order, `drop` it, or carry it out without an answer (`mute`). `outcome` tells how a task ends.
 */
export async function startWorker({
  id,
  address,
  port,
  sidecar,
  service = 'svc',
  zone = 'north',
  labels = ['a', 'r1'],
  capacity = { cpu: 64_000, mem_mb: 131_072, gpu: 0 },
  heartbeat = 1_500,
  duration = spec => Number(spec),
  fate = () => undefined,
  outcome = () => 'done',
  observe = () => undefined,
}) {
  const life = {};
  let server;
  let beats;
  const agent = new Agent({ keepAlive: true });
  const sockets = new Set();

  const begin = changes => {
    Object.assign(life, {
      id: changes.id ?? id,
      born: Math.max((life.born ?? 0) + 1, Date.now()),
      bornAt: now(),
      labels: changes.labels ?? life.labels ?? labels,
      capacity: changes.capacity ?? life.capacity ?? capacity,
      state: 'ready',
      sequence: 0,
      running: new Map(),
      closed: new Map(),
      ends: [],
      lastEnd: 0,
      token: 0,
      leaseEnd: 0,
      waiting: new Set(),
      number: (life.number ?? 0) + 1,
    });
  };
  const clock = () => Math.floor(now() - life.bornAt);
  const end = (task, how) => {
    const run = life.running.get(task);
    if (run === undefined) return;
    clearTimeout(run.timer);
    life.running.delete(task);
    life.closed.set(task, Math.max(run.run, life.closed.get(task) ?? 0));
    life.lastEnd += 1;
    life.ends.push([life.lastEnd, task, run.run, how, '']);
    observe({
      kind: 'end',
      life: life.number,
      worker: life.id,
      task,
      run: run.run,
      how,
    });
    for (const wake of life.waiting) wake();
  };
  const extend = deadline => {
    if (deadline === undefined) return;
    const extended = Math.min(deadline, now() - life.bornAt + holdMax);
    if (extended <= life.leaseEnd) return;
    life.leaseEnd = extended;
    clearTimeout(life.lapse);
    life.lapse = setTimeout(
      () => {
        for (const task of [...life.running.keys()]) end(task, 'lapsed');
      },
      Math.max(0, life.leaseEnd - (now() - life.bornAt)),
    );
  };
  const reply = (status, body = {}) => ({
    status,
    body: { clock_ms: clock(), ...body },
  });
  const isFenced = token => {
    if (token < life.token) return true;
    life.token = token;
    return false;
  };
  const start = order => {
    const {
      task,
      run,
      spec,
      deadline_ms: deadline,
      fencing_token: token = 0,
    } = order;
    if (isFenced(token)) return reply(409, { reason: 'fence' });
    if (deadline <= now() - life.bornAt) return reply(409, { reason: 'late' });
    extend(deadline);
    const current = life.running.get(task);
    if (current?.run === run) return reply(200);
    if (run <= Math.max(life.closed.get(task) ?? 0, current?.run ?? 0))
      return reply(409, { reason: 'old' });
    const started = { run, spec, at: now() };
    life.running.set(task, started);
    observe({
      kind: 'start',
      life: life.number,
      worker: life.id,
      labels: life.labels,
      capacity: life.capacity,
      running: life.running.size,
      task,
      run,
      spec,
    });
    started.timer = setTimeout(
      () => end(task, outcome(task)),
      duration(spec, task),
    );
    return reply(200);
  };
  const stop = ({ task, run, fencing_token: token = 0 }) => {
    if (isFenced(token)) return reply(409, { reason: 'fence' });
    life.closed.set(task, Math.max(run, life.closed.get(task) ?? 0));
    if (life.running.get(task)?.run === run) {
      const { number } = life;
      setTimeout(() => {
        if (life.number === number && life.running.get(task)?.run === run)
          end(task, 'stopped');
      }, 10);
    }
    return reply(200);
  };
  const hold = async ({
    deadline_ms: deadline,
    fencing_token: token = 0,
    ack_cursor: cursor = 0,
    wait_ms: wait = 0,
  }) => {
    if (isFenced(token)) return reply(409, { reason: 'fence' });
    extend(deadline);
    life.ends = life.ends.filter(([number]) => number > cursor);
    if (life.ends.length === 0 && wait > 0) {
      const { waiting } = life;
      await new Promise(resolve => {
        const timer = setTimeout(() => wake(), wait);
        const wake = () => {
          clearTimeout(timer);
          waiting.delete(wake);
          resolve();
        };
        waiting.add(wake);
      });
    }
    return reply(200, {
      born: life.born,
      running: [...life.running].map(([task, run]) => [
        task,
        run.run,
        '',
        Math.min(
          99,
          Math.floor((100 * (now() - run.at)) / duration(run.spec, task)),
        ),
      ]),
      finished: life.ends.slice(0, 500),
    });
  };
  const handle = async (incoming, outgoing) => {
    let text = '';
    for await (const chunk of incoming) text += chunk;
    const { number } = life;
    const expected = incoming.headers['x-expect-instance'];
    if (expected !== undefined && expected !== life.id) {
      outgoing.writeHead(421, { 'content-type': 'application/json' });
      outgoing.end('{}');
      return;
    }
    const order = JSON.parse(text);
    const kind = incoming.url.slice(incoming.url.lastIndexOf('/') + 1);
    const effect = await fate(kind, order);
    if (life.number !== number || effect === 'drop') return;
    const answer =
      kind === 'run-start'
        ? start(order)
        : kind === 'run-stop'
          ? stop(order)
          : await hold(order);
    if (life.number !== number || effect === 'mute' || outgoing.destroyed)
      return;
    outgoing.writeHead(answer.status, { 'content-type': 'application/json' });
    outgoing.end(JSON.stringify(answer.body));
  };
  const report = (method, body) =>
    new Promise(resolve => {
      const text = body === undefined ? '' : JSON.stringify(body);
      const outgoing = request(
        {
          host: sidecar.address,
          port: sidecar.port,
          method,
          path: `/cranberryturn/instances/${life.id}`,
          agent,
          timeout: 1_000,
          headers: {
            'content-type': 'application/json',
            'content-length': String(Buffer.byteLength(text)),
          },
        },
        incoming => {
          incoming.resume();
          incoming.on('end', () => resolve(incoming.statusCode));
        },
      );
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', () => resolve(0));
      outgoing.end(text);
    });
  const beat = () => {
    life.sequence += 1;
    return report('PUT', {
      service,
      address: `${address}:${port}`,
      zone,
      version: 'v1',
      slots: 8,
      state: life.state,
      cold_remaining_ms: 0,
      capacity: life.capacity,
      labels: life.labels,
      clock_ms: clock(),
      born: life.born,
      sequence: life.sequence,
    });
  };
  const listen = () =>
    new Promise(resolve => {
      server = createServer((incoming, outgoing) => {
        handle(incoming, outgoing).catch(() => outgoing.destroy());
      });
      server.keepAliveTimeout = 60_000;
      server.on('connection', socket => {
        sockets.add(socket);
        socket.once('close', () => sockets.delete(socket));
      });
      server.listen(port, address, resolve);
    });
  const crash = async () => {
    clearInterval(beats);
    clearTimeout(life.lapse);
    for (const [task, run] of life.running) {
      clearTimeout(run.timer);
      observe({
        kind: 'end',
        life: life.number,
        worker: life.id,
        task,
        run: run.run,
        how: 'crash',
      });
    }
    life.running.clear();
    life.number += 1;
    for (const wake of life.waiting) wake();
    const closed = new Promise(resolve => server.close(resolve));
    for (const socket of sockets) socket.destroy();
    await closed;
  };
  const live = async (changes = {}, firstBeatAfter = 0) => {
    begin(changes);
    await listen();
    const { number } = life;
    setTimeout(() => {
      if (life.number !== number) return;
      void beat();
      beats = setInterval(() => void beat(), heartbeat);
    }, firstBeatAfter);
  };

  await live();
  return {
    life,
    beat,
    /** Crashes, and starts again after `down` ms; the first report follows `firstBeatAfter` ms after the start. */
    restart: async ({ down, firstBeatAfter = 0, ...changes }) => {
      await crash();
      await new Promise(resolve => setTimeout(resolve, down));
      await live(changes, firstBeatAfter);
    },
    drain: async () => {
      life.state = 'draining';
      return beat();
    },
    leave: () => report('DELETE'),
    stop: async () => {
      await crash();
      agent.destroy();
    },
  };
}
