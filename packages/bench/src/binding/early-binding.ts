/**
 * Each dispatcher binds its tasks at once to the worker with the shortest expected wait by the latest load report,
 * and asks tasks back that wait where another worker reports itself free.
 */
import type { RandomSource } from '@cranberryturn/random';
import type { Milliseconds } from '@cranberryturn/types';

import type {
  BindingWay,
  BindingWorld,
  SimulatedTask,
  SimulatedWorker,
} from './binding-world.js';
import { WaitingTasks } from './waiting-tasks.js';

/** When sidecars report their load to dispatchers, besides on the ends of their own tasks. */
export interface ReportOptions {
  readonly intervalMilliseconds: Milliseconds;
  /** Whether each start and end is reported to the dispatchers that have tasks waiting. */
  readonly onChange: boolean;
}

/** Whether a task is asked back from a worker, and the number of moves. */
interface TaskState {
  worker: SimulatedWorker;
  moves: number;
  isAskedBack: boolean;
}

interface Report {
  free: number;
  waitingWork: number;
  runningWork: number;
  /** Work placed since the report was composed. */
  placed: {
    readonly processors: number;
    readonly work: number;
    readonly at: Milliseconds;
  }[];
}

const maximumMoves = 3;
const choiceNoiseMilliseconds: Milliseconds = 6;
const roundTripMilliseconds: Milliseconds = 2.4;

/** Creates dispatchers that bind early. */
export function createEarlyBinding(
  world: BindingWorld,
  options: ReportOptions,
  random: RandomSource,
): BindingWay {
  const dispatchers = Array.from(
    { length: world.dispatchers },
    () => new EarlyDispatcher(world, random),
  );
  const sidecars = world.workers.map(
    worker => new EarlySidecar(world, worker, dispatchers, options),
  );
  for (const dispatcher of dispatchers) dispatcher.sidecars = sidecars;
  return {
    submit: job => {
      const dispatcher = dispatchers[job.planned.dispatcher];
      for (const task of job.tasks) dispatcher?.place(task);
    },
  };
}

class EarlySidecar {
  readonly queue = new WaitingTasks();
  readonly worker: SimulatedWorker;
  readonly #world: BindingWorld;
  readonly #dispatchers: readonly EarlyDispatcher[];
  readonly #options: ReportOptions;
  readonly #lastReportAt = new Map<EarlyDispatcher, Milliseconds>();

  constructor(
    world: BindingWorld,
    worker: SimulatedWorker,
    dispatchers: readonly EarlyDispatcher[],
    options: ReportOptions,
  ) {
    this.worker = worker;
    this.#world = world;
    this.#dispatchers = dispatchers;
    this.#options = options;
    world.clock.every(100, () => {
      for (const dispatcher of dispatchers) {
        const last = this.#lastReportAt.get(dispatcher) ?? -Infinity;
        if (world.clock.now() - last >= options.intervalMilliseconds)
          this.report(dispatcher);
      }
    });
  }

  accept(task: SimulatedTask): void {
    this.queue.add(task);
    this.startQueued();
    this.#changed();
  }

  /** Returns a task that has not started. */
  giveBack(task: SimulatedTask, dispatcher: EarlyDispatcher): void {
    if (task.isStarted) return;
    this.queue.remove(task);
    this.report(dispatcher, () => {
      dispatcher.place(task);
    });
  }

  startQueued(): void {
    for (;;) {
      const task = this.queue.take(one => this.#world.fits(this.worker, one));
      if (task === undefined) return;
      this.#world.start(this.worker, task, () => {
        this.startQueued();
        this.#world.reportEnd(task);
        const own = this.#dispatchers[task.job.planned.dispatcher];
        // The load rides on the message of the end.
        if (own !== undefined) this.report(own, undefined, true);
        this.#changed();
      });
    }
  }

  report(dispatcher: EarlyDispatcher, then?: () => void, isFree = false): void {
    const now = this.#world.clock.now();
    this.#lastReportAt.set(dispatcher, now);
    let runningWork = 0;
    for (const [task, run] of this.worker.runs)
      runningWork += Math.max(0, run.endsAt - now) * task.planned.processors;
    const waitingWork = this.queue
      .list()
      .reduce(
        (sum, { planned }) =>
          sum + planned.processors * planned.runMilliseconds,
        0,
      );
    const report = { free: this.worker.free, waitingWork, runningWork };
    const deliver = (): void => {
      dispatcher.hear(this.worker, report, now);
      then?.();
    };
    if (isFree) this.#world.clock.after(roundTripMilliseconds / 2, deliver);
    else this.#world.send(deliver);
  }

  #changed(): void {
    if (!this.#options.onChange) return;
    for (const dispatcher of this.#dispatchers)
      if (dispatcher.hasWaiting) this.report(dispatcher);
  }
}

class EarlyDispatcher {
  sidecars: readonly EarlySidecar[] = [];
  readonly #world: BindingWorld;
  readonly #random: RandomSource;
  readonly #reports = new Map<SimulatedWorker, Report>();
  readonly #tasks = new Map<SimulatedTask, TaskState>();

  constructor(world: BindingWorld, random: RandomSource) {
    this.#world = world;
    this.#random = random;
    for (const worker of world.workers)
      this.#reports.set(worker, {
        free: worker.free,
        waitingWork: 0,
        runningWork: 0,
        placed: [],
      });
  }

  get hasWaiting(): boolean {
    for (const [task] of this.#tasks) if (!task.isStarted) return true;
    return false;
  }

  place(task: SimulatedTask): void {
    const now = this.#world.clock.now();
    let best: SimulatedWorker | undefined;
    let bestScore = Infinity;
    for (const worker of this.#world.workers) {
      const score = this.#score(worker, task);
      if (score >= bestScore) continue;
      best = worker;
      bestScore = score;
    }
    if (best === undefined) return;
    const worker = best;
    const { processors, runMilliseconds } = task.planned;
    this.#reports.get(worker)?.placed.push({
      processors,
      work: processors * runMilliseconds,
      at: now,
    });
    const moves = (this.#tasks.get(task)?.moves ?? -1) + 1;
    this.#tasks.set(task, { worker, moves, isAskedBack: false });
    this.#world.send(() => {
      this.sidecars[worker.position]?.accept(task);
    });
  }

  hear(
    worker: SimulatedWorker,
    report: Omit<Report, 'placed'>,
    composedAt: Milliseconds,
  ): void {
    const known = this.#reports.get(worker);
    if (known === undefined) return;
    Object.assign(known, report);
    known.placed = known.placed.filter(
      ({ at }) => at + roundTripMilliseconds / 2 > composedAt,
    );
    for (const task of this.#tasks.keys())
      if (task.isDone) this.#tasks.delete(task);
    if (known.waitingWork > 0) return;
    this.#askBack(worker, known.free);
  }

  #askBack(worker: SimulatedWorker, room: number): void {
    let free = room;
    for (const [task, state] of this.#tasks) {
      if (task.isStarted || state.isAskedBack || state.worker === worker)
        continue;
      if (state.moves >= maximumMoves || task.planned.processors > free)
        continue;
      const other = this.#reports.get(state.worker);
      if (other === undefined || other.waitingWork <= 0) continue;
      free -= task.planned.processors;
      state.isAskedBack = true;
      const sidecar = this.sidecars[state.worker.position];
      this.#world.send(() => {
        sidecar?.giveBack(task, this);
      });
    }
  }

  #score(worker: SimulatedWorker, { planned }: SimulatedTask): Milliseconds {
    const known = this.#reports.get(worker);
    if (known === undefined) return Infinity;
    const placed = known.placed.reduce((sum, one) => sum + one.processors, 0);
    const placedWork = known.placed.reduce((sum, one) => sum + one.work, 0);
    const { processors } = worker.shape;
    const free = known.free - placed;
    const run = planned.runMilliseconds / worker.shape.speed;
    const noise = this.#random.fraction() * choiceNoiseMilliseconds;
    const utilization = 20 * (1 - Math.max(0, free) / processors);
    const missing = planned.processors - free;
    if (missing <= 0) return run + noise + utilization;
    const busy = Math.max(1, processors - Math.max(0, free));
    const untilFree = (missing / busy) * (known.runningWork / busy);
    const ahead = (known.waitingWork + placedWork) / processors;
    return run + noise + utilization + untilFree + ahead;
  }
}
