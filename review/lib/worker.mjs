/** A stand-in for a worker of the platform, as PROTOCOL.md describes it. The text of a task is its work in milliseconds. */
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { text } from 'node:stream/consumers';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

import { service } from './deployment.mjs';
import { call } from './http.mjs';
import { now } from './record.mjs';

const heartbeatMilliseconds = 1500;
const stopMilliseconds = 50;
const longestLease = 1000;
const mostListedEnds = 500;
const clockRate = 0.99;

/** Watches the runs of all workers for tasks that run twice at the same time. */
export function createWatch(record) {
  const runs = [];
  const overlaps = [];
  return {
    runs,
    overlaps,
    started: run => {
      runs.push(run);
      const others = runs.filter(
        other =>
          other !== run &&
          other.task === run.task &&
          other.endedAt === undefined,
      );
      record.write(`start of ${run.task} run ${run.run} on ${run.worker}`);
      for (const other of others) overlaps.push({ run, other });
    },
    ended: (run, how) => {
      run.endedAt = now();
      run.how = how;
      record.write(
        `end of ${run.task} run ${run.run} on ${run.worker}: ${how}`,
      );
    },
    /** One line for each pair of runs of one task that ran at the same time on workers that were up. */
    describeOverlaps: () =>
      overlaps.map(({ run, other }) => {
        const until = Math.min(run.endedAt ?? now(), other.endedAt ?? now());
        return `TWICE: task ${run.task} ran as run ${other.run} on ${other.worker} and as run ${run.run} on ${run.worker} at the same time, for ${(until - run.startedAt).toFixed(0)} ms`;
      }),
  };
}

/**
 * Starts a worker. `disturb(path, order)` may return a delay: the order then gets no answer and is carried out after it.
 */
export async function startStandInWorker({
  ip,
  port,
  sidecar,
  zone,
  name,
  watch,
  record,
  disturb = () => undefined,
  capacity = { cpu: 8000, mem_mb: 32_768, gpu: 0 },
}) {
  let born = Date.now();
  let bornAt = performance.now();
  const active = new Map();
  const closed = new Map();
  const waiting = new Set();
  let listed = [];
  let ends = 0;
  let highestToken = 0;
  let leaseEnd = 0;
  let sequence = 0;
  let orders = 0;
  let state = 'ready';

  const clock = () => (performance.now() - bornAt) * clockRate;
  const reply = (status, body = {}) => ({
    status,
    body: { clock_ms: Math.floor(clock()), ...body },
  });
  const settle = () => {
    const at = clock();
    for (const [task, run] of active) {
      const isLapsed = leaseEnd <= at;
      if (!isLapsed && run.endsAt > at) continue;
      const how = run.endsAt <= at ? run.end : 'lapsed';
      active.delete(task);
      closed.set(task, Math.max(run.run, closed.get(task) ?? 0));
      ends += 1;
      listed.push([ends, task, run.run, how, '']);
      watch.ended(run.seen, how);
    }
    if (listed.length > 0) for (const wake of [...waiting]) wake();
  };
  const extend = deadline => {
    if (deadline === undefined) return;
    leaseEnd = Math.max(leaseEnd, Math.min(deadline, clock() + longestLease));
  };
  const isFenced = ({ fencing_token: token = 0 }) => {
    if (token < highestToken) return true;
    highestToken = token;
    return false;
  };

  const start = order => {
    if (isFenced(order)) return reply(409, { reason: 'fence' });
    const { task, run, spec, deadline_ms: deadline } = order;
    if (deadline <= clock()) return reply(409, { reason: 'late' });
    extend(deadline);
    const current = active.get(task);
    if (run <= (closed.get(task) ?? 0)) return reply(409, { reason: 'old' });
    if (current?.run === run) return reply(200);
    if (current !== undefined) return reply(409, { reason: 'old' });
    const work = Number(spec);
    const seen = { task, run, spec, worker: name, startedAt: now() };
    active.set(task, {
      run,
      seen,
      work,
      startedAt: clock(),
      endsAt: clock() + work,
      end: 'done',
    });
    watch.started(seen);
    return reply(200);
  };
  const stop = order => {
    if (isFenced(order)) return reply(409, { reason: 'fence' });
    const { task, run } = order;
    closed.set(task, Math.max(run, closed.get(task) ?? 0));
    const current = active.get(task);
    if (
      current !== undefined &&
      current.run <= run &&
      current.end !== 'stopped'
    ) {
      const endsAt = clock() + stopMilliseconds * 0.4;
      if (endsAt < current.endsAt)
        Object.assign(current, { endsAt, end: 'stopped' });
    }
    return reply(200);
  };
  const hold = async order => {
    if (isFenced(order)) return reply(409, { reason: 'fence' });
    extend(order.deadline_ms);
    const { ack_cursor: cursor = 0, wait_ms: wait = 0 } = order;
    listed = listed.filter(([number]) => number > cursor);
    if (wait > 0 && listed.length === 0)
      await new Promise(resolve => {
        const wake = () => {
          waiting.delete(wake);
          resolve();
        };
        waiting.add(wake);
        setTimeout(wake, wait);
      });
    settle();
    return reply(200, {
      born,
      running: [...active].map(([task, { run, startedAt, work }]) => [
        task,
        run,
        '',
        Math.min(99, Math.floor((100 * (clock() - startedAt)) / work)),
        0.5,
      ]),
      finished: listed.slice(0, mostListedEnds),
    });
  };
  const routes = {
    '/cranberryturn/run-start': start,
    '/cranberryturn/run-stop': stop,
    '/cranberryturn/hold': hold,
  };

  const server = createServer((incoming, outgoing) => {
    const answer = async () => {
      const body = await text(incoming);
      const expected = incoming.headers['x-expect-instance'];
      if (expected !== undefined && expected !== name) return reply(421);
      const order = JSON.parse(body);
      const carryOut = routes[incoming.url];
      if (carryOut === undefined) return reply(404);
      orders += 1;
      const delay = disturb(incoming.url, order);
      settle();
      if (delay === undefined) return await carryOut(order);
      record.write(`${name} leaves ${incoming.url} unanswered`, order);
      setTimeout(() => {
        settle();
        record.write(`${name} carries out ${incoming.url} late`, order);
        void carryOut(order);
      }, delay);
      return undefined;
    };
    answer().then(
      answered => {
        if (answered === undefined) return;
        outgoing
          .writeHead(answered.status, { 'content-type': 'application/json' })
          .end(JSON.stringify(answered.body));
      },
      () => outgoing.destroy(),
    );
  });
  server.keepAliveTimeout = 0;
  const listen = () =>
    new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host: ip, port }, resolve);
    });
  await listen();

  let isCut = false;
  const report = async () => {
    // A report that is sent during a cut is lost; the next one follows at its time.
    if (isCut) return;
    sequence += 1;
    await call({
      ...sidecar,
      method: 'PUT',
      path: `/cranberryturn/instances/${name}`,
      timeout: 1000,
      body: JSON.stringify({
        service,
        address: `${ip}:${port}`,
        zone,
        version: 'v1',
        slots: 8,
        state,
        cold_remaining_ms: 0,
        capacity,
        labels: ['a', `r1-${name}`],
        clock_ms: Math.floor(clock()),
        born,
        sequence,
      }),
    }).catch(() => undefined);
  };
  let heartbeats = setInterval(() => void report(), heartbeatMilliseconds);
  const close = async () => {
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
  };
  /** The worker crashes and starts again under the same id; it knows nothing of its earlier life. */
  const beReborn = () => {
    for (const [task, run] of active) {
      active.delete(task);
      watch.ended(run.seen, 'lost with the worker');
    }
    closed.clear();
    listed = [];
    ends = 0;
    highestToken = 0;
    leaseEnd = 0;
    sequence = 0;
    born = Date.now();
    bornAt = performance.now();
    clearInterval(heartbeats);
    heartbeats = setInterval(() => void report(), heartbeatMilliseconds);
    record.write(`${name} has crashed and starts again`, { born });
    void report();
  };
  const ticker = setInterval(settle, 5);
  void report();
  return {
    name,
    countOrders: () => orders,
    listTasks: () => [...active.keys()],
    drain: async () => {
      record.write(`${name} says that it leaves`);
      state = 'draining';
      await report();
    },
    setReady: () => {
      state = 'ready';
    },
    /** Cuts the worker off; no connection to it is open then, or tried. */
    cut: async () => {
      record.write(`${name} is cut off`);
      isCut = true;
      await close();
    },
    beReborn,
    heal: async () => {
      await listen();
      isCut = false;
      record.write(`${name} is reached again`);
    },
    close: async () => {
      clearInterval(heartbeats);
      clearInterval(ticker);
      await close();
    },
  };
}
