/** Makes a plan offer exactly the asked load, however short it is. */
import { countSlots } from './deployment-shape.js';
import type { LoadPlan } from './plan-load.js';

/**
 * Stretches or shrinks the arrival times so that the work of the plan keeps
 * this part of the slots busy. The order and the run times stay.
 */
export function scaleLoad(plan: LoadPlan, loadFraction: number): LoadPlan {
  const last = plan.jobs.at(-1)?.at ?? 0;
  if (last === 0) return plan;
  const work = plan.jobs
    .flatMap(job => job.tasks)
    .reduce((sum, task) => sum + task.runMilliseconds, 0);
  const factor = work / (countSlots(plan.shape) * loadFraction) / last;
  const jobs = plan.jobs.map(job => ({ ...job, at: job.at * factor }));
  return { ...plan, jobs };
}
