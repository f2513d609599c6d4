/** Replays a trace through the real code under the manual clock. */
import {
  createManualTimerService,
  type ManualTimerService,
} from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import type { CompletedSubmission } from '../load/run-load.js';
import { driveTrace } from './drive-trace.js';
import { judgeTrace, type UnmetExpectation } from './judge-trace.js';
import { startManualStage } from './manual-stage.js';
import type { Stage } from './stage.js';
import type { Trace } from './trace-format.js';

/** What came of a replay. */
export interface ReplayedTrace {
  readonly submissions: readonly CompletedSubmission[];
  readonly unmet: readonly UnmetExpectation[];
}

const stepMilliseconds: Milliseconds = 500;
const longestReplayMilliseconds: Milliseconds = 120_000;

/** A reply that never came. */
export class UnendedTraceError extends Error {
  constructor(trace: string) {
    super(
      `Trace ${trace} did not end within ${String(longestReplayMilliseconds)} ms of its own time.`,
    );
    this.name = 'UnendedTraceError';
  }
}

/** Replays a trace and judges what came of it by its expectations. */
export async function replayTrace(trace: Trace): Promise<ReplayedTrace> {
  return driveManualStage(trace, (submissions, stage) => ({
    submissions,
    unmet: judgeTrace(trace.expectations, submissions, stage),
  }));
}

/** Drives the events of a trace under the manual clock, and judges before the stage stops. */
export async function driveManualStage<Judgement>(
  trace: Pick<Trace, 'header' | 'events'>,
  judge: (
    submissions: readonly CompletedSubmission[],
    stage: Stage,
  ) => Judgement,
): Promise<Judgement> {
  const timers = createManualTimerService();
  const stage = await startManualStage(trace.header, timers);
  try {
    return judge(await driveToEnd(trace, stage, timers), stage);
  } finally {
    const stopping = stage.stop();
    await timers.advance(stepMilliseconds);
    await stopping;
  }
}

/** Moves time until every submission has its reply. */
async function driveToEnd(
  trace: Pick<Trace, 'header' | 'events'>,
  stage: Stage,
  timers: ManualTimerService,
): Promise<readonly CompletedSubmission[]> {
  const driven: { submissions?: readonly CompletedSubmission[] } = {};
  void driveTrace(trace, stage, timers).then(submissions => {
    driven.submissions = submissions;
  });
  const limit = timers.now() + longestReplayMilliseconds;
  while (driven.submissions === undefined) {
    if (timers.now() > limit) throw new UnendedTraceError(trace.header.name);
    await timers.advance(stepMilliseconds);
  }
  return driven.submissions;
}
