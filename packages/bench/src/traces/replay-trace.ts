/** Replays a trace through the real code under the manual clock. */
import { createManualTimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import type { CompletedSubmission } from '../load/run-load.js';
import { driveTrace } from './drive-trace.js';
import { judgeTrace, type UnmetExpectation } from './judge-trace.js';
import { startManualStage } from './manual-stage.js';
import type { Trace } from './trace-format.js';

/** What came of a replay. */
export interface ReplayedTrace {
  readonly submissions: readonly CompletedSubmission[];
  readonly unmet: readonly UnmetExpectation[];
}

const stepMilliseconds: Milliseconds = 500;
const longestReplayMilliseconds: Milliseconds = 120_000;

/** Replays a trace and judges what came of it. */
export async function replayTrace(trace: Trace): Promise<ReplayedTrace> {
  const timers = createManualTimerService();
  const starting = startManualStage(trace.header, timers);
  const stage = await starting;
  let finished = false;
  const driving = driveTrace(trace, stage, timers).then(submissions => {
    finished = true;
    return submissions;
  });
  const limit = timers.now() + longestReplayMilliseconds;
  while (!finished) {
    if (timers.now() > limit) {
      throw new Error(
        `Trace ${trace.header.name} did not end within ${String(longestReplayMilliseconds)} ms of its own time.`,
      );
    }
    await timers.advance(stepMilliseconds);
  }
  const submissions = await driving;
  const unmet = judgeTrace(trace.expectations, submissions, stage);
  const stopping = stage.stop();
  await timers.advance(stepMilliseconds);
  await stopping;
  return { submissions, unmet };
}
