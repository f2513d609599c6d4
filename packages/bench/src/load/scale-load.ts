/** Scales a plan to an exact load, so that short plans do not deviate by chance. */
import { countSlots } from './deployment-shape.js';
import type { LoadPlan } from './plan-load.js';

/**
 * Scales the arrival times so that the plan keeps exactly this fraction of the
 * slots busy. Order and run times are unchanged.
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
