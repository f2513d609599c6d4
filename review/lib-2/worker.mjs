// A worker as PROTOCOL.md describes it: it carries out run-start, run-stop and hold, keeps one lease for all that
// runs, and reports itself to the control_plane address of its machine. How long a task works stands in its spec.
import { Buffer } from 'node:buffer';
import { createServer, request } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

const holdMaximum = 1000;
const stopTime = 30;
const heartbeatInterval = 1500;

export class Worker {
  /** `report` is called with each start and end of a run. */
  constructor({
    id,
    ip,
    port,
    sidecarPort,
    service,
    zone,
    labels,
    cpu,
    report,
  }) {
    Object.assign(this, { id, ip, port, sidecarPort, service, zone, labels });
    this.capacity = { cpu, mem_mb: 65536, gpu: 0 };
    this.report = report;
    this.state = 'ready';
    this.bornAt = performance.now();
    this.born = Date.now();
    this.sequence = 0;
    this.running = new Map();
    this.closed = new Map();
    this.finished = [];
    this.ends = 0;
    this.token = 0;
    this.leaseEnd = 0;
    this.waiting = new Set();
  }

  clock() {
    return Math.floor(performance.now() - this.bornAt);
  }

  async start() {
    this.server = createServer((incoming, outgoing) => {
      const chunks = [];
      incoming.on('data', chunk => chunks.push(chunk));
      incoming.on('error', () => undefined);
      incoming.on('end', () => {
        void this.answer(incoming, Buffer.concat(chunks).toString(), outgoing);
      });
    });
    this.server.keepAliveTimeout = 60000;
    await new Promise(resolve => {
      this.server.listen(this.port, this.ip, resolve);
    });
    this.ticker = setInterval(() => this.settle(), 10);
    this.beats = setInterval(() => this.beat(), heartbeatInterval);
    this.beat();
  }

  stop() {
    clearInterval(this.ticker);
    clearInterval(this.beats);
    for (const wake of this.waiting) wake();
    this.server?.closeAllConnections();
    this.server?.close();
  }

  async answer(incoming, text, outgoing) {
    const send = (status, body = {}) => {
      outgoing.writeHead(status, { 'content-type': 'application/json' });
      outgoing.end(
        JSON.stringify({ clock_ms: this.clock(), born: this.born, ...body }),
      );
    };
    const expected = incoming.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      send(421);
      return;
    }
    if (incoming.method === 'GET') {
      send(200);
      return;
    }
    let order;
    try {
      order = JSON.parse(text);
    } catch {
      send(400);
      return;
    }
    this.settle();
    if ((order.fencing_token ?? 0) < this.token) {
      send(409, { reason: 'fence' });
      return;
    }
    this.token = order.fencing_token ?? 0;
    switch (incoming.url) {
      case '/cranberryturn/run-start': {
        const reason = this.startRun(order);
        if (reason === undefined) send(200);
        else send(409, { reason });
        return;
      }
      case '/cranberryturn/run-stop':
        this.stopRun(order);
        send(200);
        return;
      case '/cranberryturn/hold':
        this.extend(order.deadline_ms);
        this.finished = this.finished.filter(
          ([number]) => number > (order.ack_cursor ?? 0),
        );
        if (order.wait_ms > 0 && this.finished.length === 0)
          await this.waitForEnd(Math.min(order.wait_ms, 2000));
        this.settle();
        send(200, {
          running: [...this.running.values()].map(one => [
            one.task,
            one.run,
            '',
            Math.min(
              99,
              Math.floor(
                (100 * (performance.now() - one.startedAt)) / one.duration,
              ),
            ),
            one.cpu ?? 0,
          ]),
          finished: this.finished.slice(0, 500),
        });
        return;
      default:
        send(404);
    }
  }

  extend(deadline) {
    if (deadline === undefined) return;
    const most = this.clock() + holdMaximum;
    this.leaseEnd = Math.max(this.leaseEnd, Math.min(deadline, most));
  }

  startRun({ task, run, spec, deadline_ms: deadline = 0 }) {
    if (deadline <= this.clock()) return 'late';
    this.extend(deadline);
    if (run <= (this.closed.get(task) ?? 0)) return 'old';
    const known = this.running.get(task);
    if (known !== undefined) return known.run === run ? undefined : 'old';
    const duration = Number(/work=(\d+)/.exec(spec)?.[1] ?? 100);
    const startedAt = performance.now();
    this.running.set(task, {
      task,
      run,
      duration,
      startedAt,
      endsAt: startedAt + duration,
      end: 'done',
    });
    this.report('start', { worker: this.id, task, run, spec });
    return undefined;
  }

  stopRun({ task, run }) {
    this.closed.set(task, Math.max(run, this.closed.get(task) ?? 0));
    const known = this.running.get(task);
    if (known?.run !== run) return;
    const stopsAt = performance.now() + stopTime;
    if (stopsAt >= known.endsAt) return;
    known.endsAt = stopsAt;
    known.end = 'stopped';
  }

  waitForEnd(duration) {
    return new Promise(resolve => {
      const wake = () => {
        this.waiting.delete(wake);
        resolve();
      };
      this.waiting.add(wake);
      setTimeout(wake, duration);
    });
  }

  /** Ends what is over: by its work, by a stop, or as the lease has lapsed. */
  settle() {
    const now = performance.now();
    const hasLapsed = this.clock() >= this.leaseEnd;
    for (const [task, one] of this.running) {
      if (one.endsAt > now && !hasLapsed) continue;
      const how = one.endsAt <= now ? one.end : 'lapsed';
      this.running.delete(task);
      this.closed.set(task, Math.max(one.run, this.closed.get(task) ?? 0));
      this.ends += 1;
      this.finished.push([this.ends, task, one.run, how, '']);
      this.report('end', { worker: this.id, task, run: one.run, how });
    }
    if (this.finished.length > 0) for (const wake of this.waiting) wake();
  }

  beat() {
    this.sequence += 1;
    const body = JSON.stringify({
      service: this.service,
      address: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: this.capacity,
      labels: this.labels,
      clock_ms: this.clock(),
      born: this.born,
      sequence: this.sequence,
    });
    const beat = request({
      host: this.ip,
      port: this.sidecarPort,
      method: 'PUT',
      path: `/cranberryturn/instances/${this.id}`,
      agent: false,
      timeout: 1000,
      headers: {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      },
    });
    beat.on('timeout', () => beat.destroy());
    beat.on('error', () => undefined);
    beat.on('response', response => response.resume());
    beat.end(body);
  }
}
