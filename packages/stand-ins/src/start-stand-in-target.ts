/** Target for tests and measurements: answers tasks over HTTP and counts every start. */
import { type HttpBindings } from '@hono/node-server';
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import type { TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  NetworkAddress,
  TargetId,
} from '@cranberryturn/types';
import { type Context, Hono } from 'hono';

import { listenOnLoopback } from './listen-on-loopback.js';
import {
  createRunningTasks,
  TaskRunOutcome,
  type RunningTasks,
} from './running-tasks.js';
import { createStartCounts, type StartCounts } from './start-counts.js';
import {
  getRunTimeFactor,
  type TargetFault,
  TargetFaultKind,
  TaskTreatment,
  selectTreatment,
} from './target-fault.js';
import {
  type StandInAnswer,
  type TaskPayload,
  taskPayloadSchema,
} from './task-payload.js';

/** Header that names the job of a task. */
export const jobIdHeader = 'cranberry-job-id';
/** Header that names the task. */
export const taskIdHeader = 'cranberry-task-id';
/** Header with the number of the attempt. */
export const attemptHeader = 'cranberry-attempt';

/** Identity, timers and run times of a stand-in target. */
export interface StandInTargetOptions {
  readonly targetId: TargetId;
  readonly timers: TimerService;
  /** Seed of the random run times. */
  readonly seed: number;
  /** Run times of tasks whose payload names none; 50 to 250 ms if undefined. */
  readonly runTime?: RunTimeRange | undefined;
}

/** Range from which a run time is drawn uniformly. */
export interface RunTimeRange {
  readonly minimumMilliseconds: Milliseconds;
  readonly maximumMilliseconds: Milliseconds;
}

/** A running stand-in target. */
export interface StandInTarget {
  readonly targetId: TargetId;
  readonly address: NetworkAddress;
  /** Base address; tasks are posted to `/tasks` below it. */
  readonly url: string;
  readonly starts: StartCounts;
  readonly running: RunningTasks;
  /** Sets the fault that tasks see from now on. */
  setFault(fault: TargetFault): void;
  /** Stops all tasks and closes all connections. */
  close(): Promise<void>;
}

interface TargetState {
  readonly options: StandInTargetOptions;
  readonly random: RandomSource;
  readonly starts: StartCounts;
  readonly running: RunningTasks;
  fault: TargetFault;
  faultSetAt: Milliseconds;
}

type TaskContext = Context<{ Bindings: HttpBindings }>;

const defaultRunTime: RunTimeRange = {
  minimumMilliseconds: 50,
  maximumMilliseconds: 250,
};

/** Starts a stand-in target on a free port of the loopback address. */
export async function startStandInTarget(
  options: StandInTargetOptions,
): Promise<StandInTarget> {
  const state: TargetState = {
    options,
    random: createRandomSource(options.seed),
    starts: createStartCounts(options.targetId),
    running: createRunningTasks(options.timers),
    fault: { kind: TargetFaultKind.None },
    faultSetAt: options.timers.now(),
  };
  const application = new Hono<{ Bindings: HttpBindings }>();
  application.get('/healthz', context => context.text('ok'));
  application.post('/tasks', context => runTask(state, context));
  const server = await listenOnLoopback(application.fetch);
  return {
    targetId: options.targetId,
    address: server.address,
    url: server.url,
    starts: state.starts,
    running: state.running,
    setFault: fault => {
      state.fault = fault;
      state.faultSetAt = options.timers.now();
    },
    close: () => {
      state.running.stopAll();
      return server.close();
    },
  };
}

async function runTask(
  state: TargetState,
  context: TaskContext,
): Promise<Response> {
  const jobId = readHeader(context, jobIdHeader);
  const taskId = readHeader(context, taskIdHeader);
  if (jobId === undefined || taskId === undefined) {
    return context.json(
      {
        error: `The request needs the headers ${jobIdHeader} and ${taskIdHeader}.`,
      },
      400,
    );
  }
  const payload = taskPayloadSchema.safeParse(
    await context.req.json().catch(() => undefined),
  );
  if (!payload.success) {
    return context.json({ error: payload.error.message }, 422);
  }
  state.starts.add(jobId, taskId);
  const elapsed = state.options.timers.now() - state.faultSetAt;
  const treatment = selectTreatment(state.fault, elapsed);
  if (treatment === TaskTreatment.Fail) {
    return context.json({ error: 'This target fails every task.' }, 500);
  }
  const duration =
    treatment === TaskTreatment.Hang
      ? undefined
      : drawRunTime(state, payload.data);
  const end = await state.running.run(jobId, taskId, duration);
  if (treatment === TaskTreatment.Drop) {
    context.env.incoming.socket.destroy();
  }
  if (end === TaskRunOutcome.Stopped) {
    return context.json({ error: 'The task was stopped.' }, 503);
  }
  if (payload.data.failure !== undefined) {
    return context.json({ error: payload.data.failure }, 500);
  }
  const answer: StandInAnswer = {
    jobId,
    taskId,
    attempt: Number(context.req.header(attemptHeader) ?? 1),
    target: state.options.targetId,
    padding: 'x'.repeat(payload.data.answerBytes),
  };
  return context.json(answer);
}

/** Reads a percent-encoded header; undefined if absent. */
function readHeader(context: TaskContext, header: string): string | undefined {
  const value = context.req.header(header);
  return value === undefined ? undefined : decodeURIComponent(value);
}

function drawRunTime(state: TargetState, payload: TaskPayload): Milliseconds {
  const { minimumMilliseconds, maximumMilliseconds } =
    state.options.runTime ?? defaultRunTime;
  const spread = maximumMilliseconds - minimumMilliseconds;
  const drawn = minimumMilliseconds + state.random.fraction() * spread;
  return (payload.runMilliseconds ?? drawn) * getRunTimeFactor(state.fault);
}
