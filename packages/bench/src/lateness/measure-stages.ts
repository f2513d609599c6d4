/** Splits the time of a job into stages, along the task that ended last. */
import type { LoggedJob, LoggedRun } from './collect-jobs.js';

/** Where the time of a job goes. */
export enum Stage {
  /** At the dispatcher, before the job was submitted. */
  Entry = 'entry',
  /** Until the last task was placed for the first time. */
  Placing = 'placing',
  /** Orders on their way. */
  Order = 'order',
  /** In the queue of a worker. */
  Worker = 'worker',
  Run = 'run',
  /** Earlier runs that failed, were interrupted or never started. */
  OtherRuns = 'other runs',
  /** From the end of the last run to that of the job. */
  Answer = 'answer',
}

/** Milliseconds by stage. */
export type StageTimes = Readonly<Record<Stage, number>>;

/** Measures the stages of a completed job; undefined when its log lines are incomplete. */
export function measureStages(job: LoggedJob): StageTimes | undefined {
  const { endedAt } = job;
  if (endedAt === undefined) return undefined;
  let last: readonly LoggedRun[] | undefined;
  for (const runs of job.runs.values())
    if (findEnd(runs) >= findEnd(last)) last = runs;
  const first = last?.at(0);
  const final = last?.at(-1);
  if (first === undefined || final === undefined) return undefined;
  const { receivedAt, startedAt, endedAt: runEndedAt } = final;
  if (receivedAt === undefined || startedAt === undefined) return undefined;
  if (runEndedAt === undefined) return undefined;
  return {
    [Stage.Entry]: job.heldMilliseconds,
    [Stage.Placing]: first.placedAt - job.admittedAt,
    [Stage.OtherRuns]: final.placedAt - first.placedAt,
    [Stage.Order]: receivedAt - final.placedAt,
    [Stage.Worker]: startedAt - receivedAt,
    [Stage.Run]: runEndedAt - startedAt,
    [Stage.Answer]: endedAt - runEndedAt,
  };
}

function findEnd(runs: readonly LoggedRun[] | undefined): number {
  return runs?.at(-1)?.endedAt ?? Number.NEGATIVE_INFINITY;
}
