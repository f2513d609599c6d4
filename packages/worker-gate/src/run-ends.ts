/** Ends the runs of one executor upon evidence, and reports each end once. */
import { RunEndReason } from '@cranberryturn/types';

import { type ActiveRun, createRunEnd, RunPhase } from './active-run.js';
import { type EndedRun, nameTask } from './ports/worker.js';
import {
  type EndEvidence,
  EvidenceKind,
  interpretEvidence,
} from './run-evidence.js';
import type { RunTable } from './run-table.js';
import type { WorkerExecutorOptions } from './worker-executor-options.js';

/** The ends of the runs in one table. */
export class RunEnds {
  readonly #options: Pick<WorkerExecutorOptions, 'timers' | 'runEnded'>;
  readonly #runs: RunTable;
  readonly #capacityReleased: () => void;

  /** `capacityReleased` is called for each active run that ends or is queued again. */
  constructor(
    options: Pick<WorkerExecutorOptions, 'timers' | 'runEnded'>,
    runs: RunTable,
    capacityReleased: () => void,
  ) {
    this.#options = options;
    this.#runs = runs;
    this.#capacityReleased = capacityReleased;
  }

  /** Ends a run; one that has ended is left as it is. */
  end(run: ActiveRun, evidence: EndEvidence): void {
    if (run.phase === RunPhase.Ended) return;
    const { outcome, reason } = interpretEvidence(run, evidence);
    const end = createRunEnd(run, outcome, reason, this.#options.timers.now());
    this.release(run);
    run.phase = RunPhase.Ended;
    this.#options.runEnded(run.dispatcher, end, evidence);
  }

  /** Handles an end that the worker lists. */
  endListed(ended: EndedRun): void {
    const run = this.#runs.findActiveRun(nameTask(ended.jobId, ended.taskId));
    if (run?.run !== ended.run) return;
    // The reply to the start order was lost, or arrives after the end.
    if (run.phase === RunPhase.Starting) run.phase = RunPhase.Running;
    this.end(run, { kind: EvidenceKind.Listed, end: ended.end });
  }

  /** Ends a run for which no order was sent, or whose orders were all refused. */
  endNotStarted(run: ActiveRun, reason: RunEndReason): void {
    this.end(run, { kind: EvidenceKind.NotStarted, reason });
  }

  /** Returns the queued runs that match. */
  refuseWaiting(
    reason: RunEndReason,
    matches: (run: ActiveRun) => boolean,
  ): void {
    for (const run of this.#runs.waiting.takeMatching(matches))
      this.endNotStarted(run, reason);
  }

  /** Releases the capacity of a run, if it has any. */
  release(run: ActiveRun): void {
    if (this.#runs.releaseRun(run, this.#options.timers.now()))
      this.#capacityReleased();
  }
}
