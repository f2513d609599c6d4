/** The simulated workers, links and callers that all ways of binding tasks to workers share. */
import type { Milliseconds } from '@cranberryturn/types';

import { createEventClock, type EventClock } from '../policies/event-clock.js';
import type {
  BindingLoad,
  PlannedJob,
  PlannedTask,
  WorkerShape,
} from './binding-load.js';
import { planJobs, planWorkers } from './binding-load.js';

/** One way between two processes, with the time that the receiver takes to handle the message. */
const hopMilliseconds: Milliseconds = 1.2;
/** Between a sidecar and its worker, one way. */
const workerHopMilliseconds: Milliseconds = 0.5;
/** Between a caller and its dispatcher, one way. */
const callerHopMilliseconds: Milliseconds = 3;

/** Time after the last arrival in which jobs still end. */
const drainMilliseconds: Milliseconds = 20_000;

/** Free processors are sums of rounded numbers. */
export const roundingTolerance = 1e-6;

/** A task of the simulation. */
export interface SimulatedTask {
  readonly job: SimulatedJob;
  readonly planned: PlannedTask;
  isStarted: boolean;
  isDone: boolean;
}

/** A job of the simulation. */
export interface SimulatedJob {
  readonly planned: PlannedJob;
  readonly tasks: readonly SimulatedTask[];
  /** When the job should end, on the clock of the simulation. */
  readonly dueAt: Milliseconds;
  endedAt: Milliseconds | undefined;
}

/** A worker of the simulation, as its own sidecar sees it. */
export interface SimulatedWorker {
  readonly position: number;
  readonly shape: WorkerShape;
  /** Processors that no run has reserved. */
  free: number;
  /** The runs, and when each ends. */
  readonly runs: Map<SimulatedTask, { readonly endsAt: Milliseconds }>;
}

/** How tasks reach workers. */
export interface BindingWay {
  /** Handles a job that arrives at its dispatcher. */
  submit(job: SimulatedJob): void;
}

/** Result of one way under one load. */
export interface BindingResult {
  /** Share of the jobs of each kind that end late, by name. */
  readonly lateShares: ReadonlyMap<string, number>;
  readonly messagesPerTask: number;
  /** Processor-seconds idle while a task that fits waits, as a share of those used. */
  readonly idleShare: number;
}

/** The simulated workers and links. */
export class BindingWorld {
  readonly clock: EventClock = createEventClock();
  readonly workers: readonly SimulatedWorker[];
  readonly dispatchers: number;
  readonly #load: BindingLoad;
  #messages = 0;
  #waitingProcessors = 0;
  #freeProcessors = 0;
  #usedProcessorMilliseconds = 0;
  #idleProcessorMilliseconds = 0;
  #accountedAt: Milliseconds = 0;

  constructor(load: BindingLoad) {
    this.#load = load;
    this.dispatchers = load.dispatchers;
    this.workers = planWorkers(load.workers).map((shape, position) => ({
      position,
      shape,
      free: shape.processors,
      runs: new Map(),
    }));
    this.#freeProcessors = this.workers.reduce((sum, one) => sum + one.free, 0);
  }

  /** Sends a message between two processes. */
  send(deliver: () => void): void {
    this.#messages += 1;
    this.clock.after(hopMilliseconds, deliver);
  }

  /** Whether the worker has room for the task now. */
  fits(worker: SimulatedWorker, { planned }: SimulatedTask): boolean {
    return planned.processors <= worker.free + roundingTolerance;
  }

  /** Starts a task at a worker; `ended` is called at its sidecar. */
  start(worker: SimulatedWorker, task: SimulatedTask, ended: () => void): void {
    if (task.isStarted)
      throw new Error('A task was started twice in the simulation.');
    if (!this.fits(worker, task))
      throw new Error('A task was started on a worker without room for it.');
    this.#account();
    const { processors, runMilliseconds } = task.planned;
    const duration =
      runMilliseconds / worker.shape.speed + 2 * workerHopMilliseconds;
    task.isStarted = true;
    worker.free -= processors;
    worker.runs.set(task, { endsAt: this.clock.now() + duration });
    this.#waitingProcessors -= processors;
    this.#freeProcessors -= processors;
    this.clock.after(duration, () => {
      this.#account();
      worker.free += processors;
      worker.runs.delete(task);
      this.#freeProcessors += processors;
      task.isDone = true;
      ended();
    });
  }

  /** Reports the end of a task to the dispatcher of its job, which answers the caller after the last one. */
  reportEnd({ job }: SimulatedTask): void {
    this.send(() => {
      if (job.endedAt !== undefined) return;
      if (job.tasks.every(task => task.isDone))
        job.endedAt = this.clock.now() + callerHopMilliseconds;
    });
  }

  /** Plays the load to its end. */
  play(way: BindingWay): BindingResult {
    const jobs = planJobs(this.#load).map(planned => createJob(planned));
    for (const job of jobs) {
      this.clock.after(job.planned.at + callerHopMilliseconds, () => {
        this.#account();
        for (const { planned } of job.tasks)
          this.#waitingProcessors += planned.processors;
        way.submit(job);
      });
    }
    this.clock.runUntil(this.#load.durationMilliseconds + drainMilliseconds);
    return this.#summarize(jobs);
  }

  #account(): void {
    const now = this.clock.now();
    const elapsed = now - this.#accountedAt;
    this.#accountedAt = now;
    if (now > this.#load.durationMilliseconds) return;
    const total = this.workers.reduce(
      (sum, { shape }) => sum + shape.processors,
      0,
    );
    this.#usedProcessorMilliseconds += elapsed * (total - this.#freeProcessors);
    this.#idleProcessorMilliseconds +=
      elapsed * Math.min(this.#waitingProcessors, this.#freeProcessors);
  }

  #summarize(jobs: readonly SimulatedJob[]): BindingResult {
    const lateShares = new Map<string, number>();
    const names = new Set(jobs.map(({ planned }) => planned.kind.name));
    for (const name of names) {
      const ofKind = jobs.filter(({ planned }) => planned.kind.name === name);
      const late = ofKind.filter(isLate);
      lateShares.set(name, late.length / ofKind.length);
    }
    const tasks = jobs.reduce((sum, job) => sum + job.tasks.length, 0);
    return {
      lateShares,
      messagesPerTask: this.#messages / tasks,
      idleShare:
        this.#idleProcessorMilliseconds / this.#usedProcessorMilliseconds,
    };
  }
}

function isLate({ endedAt, dueAt }: SimulatedJob): boolean {
  return endedAt === undefined || endedAt > dueAt;
}

function createJob(planned: PlannedJob): SimulatedJob {
  const tasks: SimulatedTask[] = [];
  const job: SimulatedJob = {
    planned,
    tasks,
    dueAt: planned.at + planned.objectiveMilliseconds,
    endedAt: undefined,
  };
  for (const task of planned.tasks)
    tasks.push({ job, planned: task, isStarted: false, isDone: false });
  return job;
}
