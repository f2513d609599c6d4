/** Computes the load of each role at the target size from measured slopes. */
import { formatNumber } from '../report/format-table.js';
import type { ResultFile } from '../results/result-file.js';
import type { Slope } from '../slopes/measure-slopes.js';
import type { CapacityRow, CapacityTable } from './capacity-table.js';
import { computeControl } from './compute-control.js';
import { computeSidecar } from './compute-sidecar.js';
import { computeSites } from './compute-sites.js';
import { readSlopeValues, type SlopeValues } from './slope-values.js';
import {
  jobSizes,
  plannedUtilization,
  targetSize,
  averageTasksPerJob,
} from './target-size.js';

const millisecondsPerSecond = 1_000;
const millisecondsPerPercent = 10;
/** Workers with accelerators, at eight accelerators each. */
const targetsWithAccelerators = targetSize.accelerators / 8;

/** Number of dispatchers and their sessions, from which the other tables are computed. */
export interface DispatcherPlan {
  /** Dispatcher processes of one core each. */
  readonly processes: number;
  /** Maximum number of dispatchers that a sidecar holds sessions with within its budgets. */
  readonly sessionsPerSidecar: number;
  /** Sidecars of each dispatcher at that number of sessions, rounded up. */
  readonly sidecarsPerDispatcher: number;
}

/** Computes every table of docs/CAPACITY.md. Throws if a slope is missing in the result. */
export function computeCapacity(
  result: ResultFile<readonly Slope[]>,
): readonly CapacityTable[] {
  const values = readSlopeValues(result.content);
  const plan = planDispatchers(values);
  return [
    { name: 'origin', rows: describeOriginRows(result) },
    { name: 'dispatcher', rows: computeDispatcher(values, plan) },
    { name: 'sidecar', rows: computeSidecar(values, plan) },
    { name: 'control', rows: computeControl(values, plan) },
    { name: 'sites', rows: computeSites(plan) },
  ];
}

/** Computes the number of dispatchers for the start rate and the sidecars that each serves. */
export function planDispatchers(values: SlopeValues): DispatcherPlan {
  const startsPerCoreAndSecond = computeStartsPerCore(
    values,
    averageTasksPerJob,
  );
  const processes = Math.ceil(
    targetSize.startsPerSecond / (startsPerCoreAndSecond * plannedUtilization),
  );
  const sessionsPerSidecar = Math.min(
    processes,
    countSessionsByTraffic(values),
    countSessionsByProcessor(values, processes),
  );
  return {
    processes,
    sessionsPerSidecar,
    sidecarsPerDispatcher: Math.ceil(
      (targetSize.workers * sessionsPerSidecar) / processes,
    ),
  };
}

/** Maximum number of sessions within the traffic budget of a sidecar. */
function countSessionsByTraffic(values: SlopeValues): number {
  const bytes = values.readSlope('sidecar-sessions', 'bytes');
  return Math.floor(targetSize.daemonBytesPerSecond / bytes);
}

/** Maximum number of sessions for which the idle sidecars of a dispatcher stay within the processor budget of a daemon. */
function countSessionsByProcessor(
  values: SlopeValues,
  dispatchers: number,
): number {
  const quantity = 'processorMilliseconds';
  const base = values.estimateAt('dispatcher-sidecars', quantity, 0);
  const each = values.readSlope('dispatcher-sidecars', quantity);
  const budget = targetSize.daemonProcessorPercent * millisecondsPerPercent;
  const sidecars = (budget - base) / each;
  return Math.floor((sidecars * dispatchers) / targetSize.workers);
}

function computeStartsPerCore(values: SlopeValues, tasks: number): number {
  const perJob = values.readAt(
    'dispatcher-tasks',
    'processorMilliseconds',
    tasks,
  );
  return (millisecondsPerSecond * tasks) / perJob;
}

function computeDispatcher(
  values: SlopeValues,
  plan: DispatcherPlan,
): readonly CapacityRow[] {
  const { processes, sidecarsPerDispatcher } = plan;
  const all = targetSize.workers;
  return [
    ...jobSizes.map(tasks => describeStartRate(values, tasks)),
    {
      figure: `dispatchers, jobs of ${String(averageTasksPerJob)}, each core used to ${formatNumber(plannedUtilization * 100)} %`,
      value: formatNumber(processes),
      source: `${formatNumber(targetSize.startsPerSecond)} starts a second / starts a core / use`,
    },
    {
      figure: `messages for each task, jobs of ${String(averageTasksPerJob)}`,
      value: formatNumber(
        values.estimateAt('dispatcher-tasks', 'messages', averageTasksPerJob) /
          averageTasksPerJob,
      ),
      budget: '2.2',
      source:
        'dispatcher-tasks, messages; the claim comes on top, one for each job',
    },
    {
      figure: 'sidecars of one dispatcher, with subsets',
      value: formatNumber(sidecarsPerDispatcher),
      source: `workers x ${formatNumber(plan.sessionsPerSidecar)} sessions of a sidecar / dispatchers: within 2 KB/s and 4 % of a core`,
    },
    describeIdleSessions(values, 'with subsets', sidecarsPerDispatcher),
    describeIdleSessions(values, 'without subsets', all),
    {
      figure: 'heap of sessions, with subsets',
      value: `${formatNumber(values.readSlope('dispatcher-sidecars', 'heapMebibytes') * sidecarsPerDispatcher)} MiB`,
      source: 'dispatcher-sidecars, heap slope x sidecars',
    },
    {
      figure: 'resident memory without work, with subsets',
      value: `${formatNumber(values.estimateAt('dispatcher-sidecars', 'residentMebibytes', sidecarsPerDispatcher))} MiB`,
      source: 'dispatcher-sidecars, resident line',
    },
    {
      figure: `processor time of scheduling alone, ${formatNumber(targetSize.teams)} teams`,
      value: `${formatNumber(values.estimateAt('dispatcher-teams', 'processorMilliseconds', targetSize.teams))} ms a task`,
      source: 'dispatcher-teams, line at 98 teams over 1,600 targets',
    },
    {
      figure: `processor time of scheduling alone, ${formatNumber(all)} targets`,
      value: `${formatNumber(values.estimateAt('dispatcher-targets', 'processorMilliseconds', all))} ms a task`,
      source: 'dispatcher-targets, line at 1,600 targets',
    },
    {
      figure: `processor time of scheduling alone, ${formatNumber(targetsWithAccelerators)} of 1,600 targets have accelerators`,
      value: `${formatNumber(values.readAt('dispatcher-accelerators', 'processorMilliseconds', targetsWithAccelerators))} ms a task`,
      source:
        'dispatcher-accelerators, as measured: 8 accelerators to a target, half of the jobs ask for one',
    },
  ];
}

function describeStartRate(values: SlopeValues, tasks: number): CapacityRow {
  return {
    figure: `starts a second on one core, jobs of ${String(tasks)}`,
    value: formatNumber(computeStartsPerCore(values, tasks)),
    budget: tasks === averageTasksPerJob ? '7,000' : undefined,
    source: `dispatcher-tasks, as measured at this size: ${formatNumber(values.readAt('dispatcher-tasks', 'processorMilliseconds', tasks))} ms a job`,
  };
}

function describeIdleSessions(
  values: SlopeValues,
  mode: string,
  sidecars: number,
): CapacityRow {
  const processor = values.estimateAt(
    'dispatcher-sidecars',
    'processorMilliseconds',
    sidecars,
  );
  const bytes = values.readSlope('dispatcher-sidecars', 'bytes') * sidecars;
  return {
    figure: `idle sessions, ${mode}: processor and traffic`,
    value: `${formatNumber(processor / millisecondsPerPercent)} % of a core, ${formatNumber(bytes / 1_024)} KB/s`,
    source: `dispatcher-sidecars, lines at ${formatNumber(sidecars)} sidecars`,
  };
}

function describeOriginRows({
  origin,
}: ResultFile<readonly Slope[]>): readonly CapacityRow[] {
  const { machine } = origin;
  return [
    {
      figure: 'measured on',
      value: `${machine.processor}, ${String(machine.cores)} cores, ${String(machine.memoryGibibytes)} GiB`,
      source: 'bench/results/slopes.json',
    },
    {
      figure: 'runtime',
      value: `Node.js ${machine.node}`,
      source: 'bench/results/slopes.json',
    },
    {
      figure: 'commit and seed',
      value: `${origin.commit}, ${String(origin.seed)}`,
      source: 'bench/results/slopes.json',
    },
  ];
}
