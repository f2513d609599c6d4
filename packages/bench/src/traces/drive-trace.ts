/** Applies the events of a trace to a system. */
import type { TimerService } from '@cranberryturn/timers';

import type { PlannedJob } from '../load/plan-load.js';
import type { CompletedSubmission } from '../load/run-load.js';
import type { TraceSystem } from './trace-system.js';
import { type Trace, type TraceEvent, TraceLineKind } from './trace-format.js';

/** Applies each event at its time and waits for every reply. */
export async function driveTrace(
  trace: Pick<Trace, 'events'>,
  system: TraceSystem,
  timers: TimerService,
): Promise<readonly CompletedSubmission[]> {
  const jobs = new Map<string, PlannedJob>();
  const submissions: Promise<CompletedSubmission>[] = [];
  const pendingActions: Promise<void>[] = [];
  const start = timers.now();

  const submit = async (
    dispatcher: number,
    job: PlannedJob,
  ): Promise<CompletedSubmission> => {
    const reply = await system.submitJob(dispatcher, job);
    return { job, reply, responseMilliseconds: timers.now() - start - job.at };
  };

  const apply = (event: TraceEvent): void => {
    switch (event.kind) {
      case TraceLineKind.Submission:
        jobs.set(event.job.jobId, event.job);
        submissions.push(
          submit(event.dispatcher, { ...event.job, at: event.at }),
        );
        return;
      case TraceLineKind.Cancellation: {
        const job = jobs.get(event.jobId);
        if (job !== undefined)
          pendingActions.push(system.cancelJob(event.dispatcher, job));
        return;
      }
      case TraceLineKind.Fault:
        pendingActions.push(system.applyFault(event.fault));
        return;
    }
  };

  await Promise.all(
    trace.events.map(
      event =>
        new Promise<void>(resolve => {
          timers.after(event.at, () => {
            apply(event);
            resolve();
          });
        }),
    ),
  );
  const completed = await Promise.all(submissions);
  await Promise.all(pendingActions);
  return completed;
}
