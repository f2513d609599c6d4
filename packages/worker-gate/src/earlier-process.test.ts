/** Orders and runs of an earlier process of the sidecar, around the start of the next one. */
import { createRandomSource } from '@cranberryturn/random';
import test from 'ava';

import type { FakeWorker } from './fakes/fake-worker-state.js';
import {
  createWorkerRun,
  type GateFixture,
  startGateFixture,
} from './fakes/gate-fixture.js';

const runMilliseconds = 2_000;
const tickMilliseconds = 10;
const wallClockSteps = [0, 0, 0, -1, -5_000, -3_600_000, 20_000];

/** A sidecar that is started again and again, and which of its processes ordered each run. */
class RestartedSidecar {
  readonly faults: string[] = [];
  readonly #starters = new Map<string, number>();
  #processes = 1;
  incarnations = 1;
  jobs = 0;

  constructor(readonly fixture: GateFixture) {
    this.watchWorker(fixture.worker);
  }

  /** Notes orders with a deadline that reach a worker with runs of an earlier process. */
  watchWorker(worker: FakeWorker): void {
    const { port } = worker;
    worker.runMilliseconds = runMilliseconds;
    Object.assign(worker, {
      port: {
        ...port,
        startRun: (order: Parameters<typeof port.startRun>[0]) => {
          this.#starters.set(
            `${order.jobId}/${String(order.run)}`,
            this.#processes,
          );
          this.#noteEarlierRuns('start order');
          return port.startRun(order);
        },
        renewLease: (order: Parameters<typeof port.renewLease>[0]) => {
          if (order.deadline !== undefined) this.#noteEarlierRuns('renewal');
          return port.renewLease(order);
        },
      },
    });
  }

  restart(wallClockStep: number, asksAtStart: boolean): void {
    const { fixture } = this;
    const wallClock = fixture.timers.wallClock.bind(fixture.timers);
    const clock = { wallClock: () => wallClock() + wallClockStep };
    Object.assign(fixture.timers, clock);
    fixture.gate.kill();
    this.#processes += 1;
    const gate = fixture.restartGate();
    if (asksAtStart) gate.stopLeftovers();
  }

  check(): void {
    if (this.fixture.gate.getExecutor()?.lease.isReady === true)
      this.#noteEarlierRuns('the worker is offered');
  }

  get restarts(): number {
    return this.#processes - 1;
  }

  #noteEarlierRuns(what: string): void {
    for (const { jobId, run } of this.fixture.worker.activeRuns.values()) {
      const name = `${jobId}/${String(run)}`;
      if (this.#starters.get(name) !== this.#processes)
        this.faults.push(`${what} while ${name} is active`);
    }
  }
}

const events: readonly ((sidecar: RestartedSidecar, amount: number) => void)[] =
  [
    sidecar => {
      sidecar.jobs += 1;
      sidecar.fixture.place({
        jobId: `job-${String(sidecar.jobs)}`,
        remainingMilliseconds: 5_000,
      });
    },
    sidecar => {
      sidecar.jobs += 1;
      sidecar.fixture.place({ jobId: `job-${String(sidecar.jobs)}` });
    },
    (sidecar, amount) => {
      const step = wallClockSteps[amount % wallClockSteps.length] ?? 0;
      sidecar.restart(step, amount % 2 === 0);
      sidecar.fixture.report(sidecar.fixture.worker.run);
    },
    (sidecar, amount) => {
      sidecar.restart(0, amount % 2 === 0);
    },
    sidecar => {
      sidecar.incarnations += 1;
      const run = createWorkerRun(2, sidecar.incarnations);
      sidecar.watchWorker(sidecar.fixture.startIncarnation(run));
    },
    ({ fixture }) => {
      fixture.report(fixture.worker.run);
    },
    ({ fixture }) => {
      fixture.report(fixture.worker.run);
    },
    ({ fixture, incarnations }, amount) => {
      fixture.report(createWorkerRun(2, incarnations + 1 + amount));
    },
    ({ fixture }, amount) => {
      fixture.worker.nextStartDelayMilliseconds = 60 * amount;
    },
    ({ fixture }) => {
      fixture.worker.shouldLoseNextStop = true;
    },
    ({ fixture }) => {
      fixture.worker.shouldLoseNextReply = true;
    },
    ({ fixture: { worker } }) => {
      worker.hasUnreadableLists = !worker.hasUnreadableLists;
    },
  ];

test('no order extends a run of an earlier process, and none is active once the next one offers the worker', async t => {
  let restarts = 0;
  let starts = 0;
  for (let seed = 1; seed <= 60; seed += 1) {
    const random = createRandomSource(seed);
    const sidecar = new RestartedSidecar(await startGateFixture(2));
    const { fixture } = sidecar;
    for (let step = 0; step < 40; step += 1) {
      events[random.below(events.length)]?.(sidecar, random.below(14));
      const ticks = 1 + random.below(30);
      for (let tick = 0; tick < ticks; tick += 1) {
        await fixture.timers.advance(tickMilliseconds);
        sidecar.check();
      }
    }
    t.deepEqual(sidecar.faults.slice(0, 3), [], `seed ${String(seed)}`);
    restarts += sidecar.restarts;
    starts += sidecar.jobs;
    fixture.gate.kill();
  }
  t.log(`${String(restarts)} restarts, ${String(starts)} jobs`);
  t.true(restarts > 200);
});
