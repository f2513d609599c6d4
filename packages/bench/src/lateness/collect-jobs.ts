/** Collects jobs, their tasks and the runs of these from the log lines of dispatchers and sidecars. */
import * as z from 'zod';

import type { LogLine } from './read-log.js';

/** One run of a task. */
export interface LoggedRun {
  readonly worker: string;
  readonly placedAt: number;
  readonly processors: number;
  /** When its order reached the sidecar; undefined when it did not. */
  receivedAt: number | undefined;
  startedAt: number | undefined;
  endedAt: number | undefined;
}

/** One job, from its admission on. */
export interface LoggedJob {
  readonly jobId: string;
  readonly requestId: string;
  readonly queue: string;
  readonly admittedAt: number;
  readonly heldMilliseconds: number;
  readonly dueAt: number;
  readonly tasks: number;
  /** Runs by task, in the order of their placement. */
  readonly runs: Map<string, LoggedRun[]>;
  endedAt: number | undefined;
  kind: string | undefined;
}

/** Jobs and workers of a play. */
export interface LoggedPlay {
  readonly jobs: ReadonlyMap<string, LoggedJob>;
  /** Processors by worker. */
  readonly workers: ReadonlyMap<string, number>;
}

const admittedSchema = z.object({
  jobId: z.string(),
  requestId: z.string(),
  queue: z.string(),
  tasks: z.number(),
  heldMilliseconds: z.number(),
  dueMilliseconds: z.number(),
});
const placedSchema = z.object({
  jobId: z.string(),
  worker: z.string(),
  runs: z.array(z.string()),
  processors: z.number().default(1),
});
const receivedSchema = z.object({
  jobId: z.string(),
  tasks: z.array(z.object({ taskId: z.string(), run: z.number() })),
});
const runEndedSchema = z.object({
  jobId: z.string(),
  taskId: z.string(),
  run: z.number(),
  outcome: z.string(),
  runMilliseconds: z.number(),
});
const jobEndedSchema = z.object({ jobId: z.string(), kind: z.string() });
const announcedSchema = z.object({
  workerId: z.string(),
  capacity: z.object({ processors: z.number() }),
});

/** Collects the jobs and workers of a play. */
export function collectJobs(lines: readonly LogLine[]): LoggedPlay {
  const jobs = new Map<string, LoggedJob>();
  const workers = new Map<string, number>();
  const runs = new Map<string, LoggedRun>();
  for (const line of lines) {
    switch (line.message) {
      case 'worker announced': {
        const { workerId, capacity } = announcedSchema.parse(line.fields);
        workers.set(workerId, capacity.processors);
        break;
      }
      case 'job admitted':
        addJob(jobs, line);
        break;
      case 'tasks placed':
        addRuns(jobs, runs, line);
        break;
      case 'order received': {
        const { jobId, tasks } = receivedSchema.parse(line.fields);
        for (const { taskId, run } of tasks) {
          const placed = runs.get(composeRunKey(jobId, taskId, run));
          if (placed !== undefined) placed.receivedAt = line.at;
        }
        break;
      }
      case 'run ended':
        endRun(runs, line);
        break;
      case 'job ended': {
        const { jobId, kind } = jobEndedSchema.parse(line.fields);
        const job = jobs.get(jobId);
        if (job !== undefined) Object.assign(job, { endedAt: line.at, kind });
        break;
      }
    }
  }
  return { jobs, workers };
}

function addJob(jobs: Map<string, LoggedJob>, { at, fields }: LogLine): void {
  const { dueMilliseconds, ...job } = admittedSchema.parse(fields);
  jobs.set(job.jobId, {
    ...job,
    admittedAt: at,
    dueAt: at + dueMilliseconds,
    runs: new Map(),
    endedAt: undefined,
    kind: undefined,
  });
}

function addRuns(
  jobs: ReadonlyMap<string, LoggedJob>,
  runs: Map<string, LoggedRun>,
  { at, fields }: LogLine,
): void {
  const placed = placedSchema.parse(fields);
  const job = jobs.get(placed.jobId);
  for (const name of placed.runs) {
    const [taskId = '', number = ''] = name.split('/');
    const run: LoggedRun = {
      worker: placed.worker,
      placedAt: at,
      processors: placed.processors,
      receivedAt: undefined,
      startedAt: undefined,
      endedAt: undefined,
    };
    runs.set(composeRunKey(placed.jobId, taskId, Number(number)), run);
    const ofTask = job?.runs.get(taskId) ?? [];
    ofTask.push(run);
    job?.runs.set(taskId, ofTask);
  }
}

function endRun(
  runs: ReadonlyMap<string, LoggedRun>,
  { at, fields }: LogLine,
): void {
  const ended = runEndedSchema.parse(fields);
  const run = runs.get(composeRunKey(ended.jobId, ended.taskId, ended.run));
  if (run === undefined) return;
  run.endedAt = at;
  if (ended.runMilliseconds > 0) run.startedAt = at - ended.runMilliseconds;
}

function composeRunKey(jobId: string, taskId: string, run: number): string {
  return `${jobId}/${taskId}/${String(run)}`;
}
