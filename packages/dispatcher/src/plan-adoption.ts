/** Plans the adoption of jobs from what the witnesses say and what arrives meanwhile. */
import type { TimerService } from '@cranberryturn/timers';
import type { AttemptResult, ClaimGranted, JobId } from '@cranberryturn/types';

import {
  type AdoptionPlan,
  assembleAdoptionPlan,
} from './assemble-adoption-plan.js';
import { gatherEvidence } from './gather-evidence.js';
import type { ControlPort } from './ports/control.js';
import type { RunningJob } from './running-job.js';
import type { TargetDirectory } from './target-directory.js';

/** What the planner is built from. */
export interface AdoptionPlannerOptions {
  readonly targets: TargetDirectory;
  readonly control: ControlPort;
  readonly timers: TimerService;
}

/** Plans adoptions. */
export class AdoptionPlanner {
  readonly #options: AdoptionPlannerOptions;
  /** Results that arrive while the witnesses of a job are asked: the scheduler does not know the job yet. */
  readonly #receivedByJob = new Map<JobId, AttemptResult[]>();

  constructor(options: AdoptionPlannerOptions) {
    this.#options = options;
  }

  recordResult(result: AttemptResult): void {
    this.#receivedByJob.get(result.jobId)?.push(result);
  }

  /** Fences the job at each witness and decides what becomes of each task. */
  async planAdoption(
    job: RunningJob,
    grant: ClaimGranted,
  ): Promise<AdoptionPlan> {
    const { targets, control, timers } = this.#options;
    const { jobId, tasks } = job.request;
    const received: AttemptResult[] = [];
    this.#receivedByJob.set(jobId, received);
    const reports = await gatherEvidence({
      jobId,
      grant,
      targets,
      roster: control.roster,
      timeoutMilliseconds: Math.max(1, job.deadline - timers.now()),
    });
    this.#receivedByJob.delete(jobId);
    const taskIds = tasks.map(task => task.taskId);
    return assembleAdoptionPlan(taskIds, grant, reports, received);
  }
}
