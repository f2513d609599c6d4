/** Adapts the product's scheduler to the comparison of policies. */
import {
  createScheduler,
  mayHaveStarted,
  TaskOutcomeKind,
  TaskPlanKind,
} from '@cranberryturn/scheduling';
import { emptyConfiguration } from '@cranberryturn/types';

import type { PolicyDispatcher, PolicyFactory } from './policy-dispatcher.js';

const queueLimit = 2_000;
const defaultDeadlineMilliseconds = 10_000;
const retryBudgetPercent = 10;

/** Creates a dispatcher that places tasks with the product's scheduler, with health checks and retries. */
export const createProductPolicy: PolicyFactory = environment => {
  const { timers, dispatcherId, dataCentre, seed } = environment;
  const scheduler = createScheduler({
    dispatcherId,
    dataCentre,
    seed,
    timers,
    sender: environment,
    decisions: () => undefined,
    observer: {
      taskEnded: (jobId, taskId, outcome) => {
        const answered = outcome.kind === TaskOutcomeKind.Answered;
        environment.taskEnded(jobId, taskId, answered, mayHaveStarted(outcome));
      },
    },
  });
  const service = {
    service: 'register',
    queueLimit,
    defaultDeadlineMilliseconds,
    retryBudgetPercent,
  };
  scheduler.applyConfiguration(
    { ...emptyConfiguration, services: [service] },
    { count: environment.dispatchers },
  );
  const dispatcher: PolicyDispatcher = {
    addTarget: record => {
      const load = {
        freeSlots: record.slots,
        queuedTasks: 0,
        draining: false,
      };
      scheduler.targetRegistered(record, load);
    },
    removeTarget: target => {
      scheduler.targetLost(target);
    },
    submit: job => {
      if (scheduler.admitJob(job).isErr()) return false;
      const plans = job.tasks.map(
        ({ taskId }) => ({ kind: TaskPlanKind.Place, taskId }) as const,
      );
      const ownership = { epoch: 1, registeredUpTo: undefined };
      scheduler.startJob(job.jobId, ownership, plans);
      return true;
    },
    cancel: jobId => {
      scheduler.cancelJob(jobId, 'The caller cancelled the job.');
    },
    attemptEnded: (target, result, load) => {
      scheduler.attemptEnded(target, result, load);
    },
    creditsGranted: () => undefined,
    stop: () => {
      scheduler.stop();
    },
  };
  return dispatcher;
};
