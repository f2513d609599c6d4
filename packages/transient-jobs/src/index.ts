/** Transient jobs: jobs whose result goes to the waiting caller and is never stored. */
export * from './scarcity/scarcity-settings.js';
export { CancelOutcome } from './job-cancels.js';
export * from './transient-jobs.js';
export * from './transient-job.js';
export * from './transient-jobs-options.js';
export type { EvacuationSource } from './distribute-evacuations.js';
