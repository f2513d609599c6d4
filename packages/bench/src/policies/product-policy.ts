/** The scheduler of the product in the comparison. */
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

/** Creates a dispatcher that places with the product's scheduler. */
export const createProductPolicy: PolicyFactory = surroundings => {
  const { timers, dispatcherId, dataCentre, seed } = surroundings;
  const scheduler = createScheduler({
    dispatcherId,
    dataCentre,
    seed,
    timers,
    sender: surroundings,
    decisions: () => undefined,
    observer: {
      taskEnded: (jobId, taskId, fate) => {
        const answered = fate.kind === TaskOutcomeKind.Answered;
        surroundings.taskEnded(jobId, taskId, answered, mayHaveStarted(fate));
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
    { count: surroundings.dispatchers },
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
    loseTarget: target => {
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
