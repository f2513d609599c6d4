/** Plans the adoption of jobs from the evidence of witnesses and the results that arrive meanwhile. */
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

/** Dependencies of the planner. */
export interface AdoptionPlannerOptions {
  readonly targets: TargetDirectory;
  readonly control: ControlPort;
  readonly timers: TimerService;
}

/** Plans the adoption of jobs from earlier owners. */
export class AdoptionPlanner {
  readonly #options: AdoptionPlannerOptions;
  /** Results that arrive while witnesses are queried, when the scheduler does not know the job yet. */
  readonly #receivedByJob = new Map<JobId, AttemptResult[]>();

  constructor(options: AdoptionPlannerOptions) {
    this.#options = options;
  }

  /** Records a result of a job that is being adopted; ignores other results. */
  recordResult(result: AttemptResult): void {
    this.#receivedByJob.get(result.jobId)?.push(result);
  }

  /** Fences the job at each witness, then plans each task. Waits for evidence until the deadline of the job. */
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
