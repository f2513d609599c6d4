/** Composes the requests for capacity of the tasks of a job that may start now. */
import type { TimerService } from '@cranberryturn/timers';
import type { DataCentreName, RequestedHosts } from '@cranberryturn/types';

import type { ActiveJob } from '../active-job.js';
import type {
  CrashContainment,
  HostRestriction,
} from '../crashes/crash-containment.js';
import { computeMaximumWait, computeUsefulEnd } from '../decide-admission.js';
import type { TaskPlacer } from '../task-placer.js';
import type { RequestedTasks } from './capacity-client-options.js';

/** Dependencies of the requests. */
export interface CapacityRequestDependencies {
  readonly timers: TimerService;
  readonly dataCentre: DataCentreName;
  readonly placer: Pick<TaskPlacer, 'listGroups' | 'estimateRunTime'>;
  readonly containment: Pick<CrashContainment, 'restrictHosts'>;
}

/** Lists the requests. Tasks that depend on where others of their job run have none, and are placed by load reports. */
export function* listCapacityRequests(
  active: ActiveJob,
  { timers, dataCentre, placer, containment }: CapacityRequestDependencies,
): Iterable<RequestedTasks> {
  const { job, priority, dueAt } = active;
  const groups = [...placer.listGroups(active)];
  // A refusal is true only while no other group of the job may have started.
  const mayRefuse = !active.mayHaveStarted && groups.length === 1;
  for (const { step, tasks, runsAlone } of groups) {
    if (runsAlone || step.mostPerWorker !== undefined) continue;
    yield {
      active,
      step,
      tasks,
      excludedWorkers: new Set(
        tasks.flatMap(task => [...task.excludedWorkers]),
      ),
      request: {
        jobId: job.jobId,
        requestId: job.requestId,
        service: job.queue.service,
        queue: job.queue.queue,
        dataCentre,
        need: step.need,
        dataLabel: step.dataLabel,
        priority,
        estimatedMilliseconds: Math.round(
          placer.estimateRunTime(active, step.estimatedMilliseconds),
        ),
        dueMilliseconds: Math.round(dueAt - timers.now()),
        maximumWaitMilliseconds:
          mayRefuse && !active.isAdmitted
            ? computeMaximumWait({ ...job, ...active })
            : undefined,
        usefulMilliseconds: mayRefuse
          ? Math.round(computeUsefulEnd({ ...job, ...active }) - timers.now())
          : undefined,
        hosts: composeHosts(containment.restrictHosts(active, tasks)),
      },
    };
  }
}

function composeHosts({
  confinedTo,
  avoided,
  excluded,
}: HostRestriction): RequestedHosts | undefined {
  if (confinedTo === undefined && avoided.size + excluded.size === 0)
    return undefined;
  return {
    confinedTo: confinedTo && [...confinedTo],
    avoided: [...avoided],
    excluded: [...excluded],
  };
}
