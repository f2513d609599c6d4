/** Computes the load of the control replicas at the target size. */
import { defaultClaimRetention } from '@cranberryturn/claims';

import { formatNumber } from '../report/format-table.js';
import type { CapacityRow } from './capacity-table.js';
import type { DispatcherPlan } from './compute-capacity.js';
import type { SlopeValues } from './slope-values.js';
import {
  jobSizes,
  plannedUtilization,
  retentionSeconds,
  targetSize,
  averageTasksPerJob,
} from './target-size.js';

const millisecondsPerSecond = 1_000;
const millisecondsPerPercent = 10;
const bytesPerMebibyte = 1_048_576;

/** Computes the rows of the control table. */
export function computeControl(
  values: SlopeValues,
  plan: DispatcherPlan,
): readonly CapacityRow[] {
  return [
    ...jobSizes.flatMap(tasks => describeClaims(values, tasks)),
    ...describeFollowers(values, plan),
    ...describeChanges(values),
    ...describeReplicas(values),
    ...describeRoster(values),
    {
      figure: `restarts and failures of ${formatNumber(targetSize.restartsPerDay + targetSize.hostFailuresPerDay)} hosts a day, as log entries`,
      value: `${formatNumber((targetSize.restartsPerDay + targetSize.hostFailuresPerDay) / 86_400)} a second`,
      source: 'one registration for each; nothing beside the claims',
    },
  ];
}

function describeClaims(
  values: SlopeValues,
  tasks: number,
): readonly CapacityRow[] {
  const rate = targetSize.startsPerSecond / tasks;
  const perClaim = values.readLargest(
    'control-claim-rate',
    'processorMilliseconds',
  );
  const cores = (rate * perClaim) / millisecondsPerSecond;
  const groups = Math.max(1, Math.ceil(cores / plannedUtilization));
  const retained = rate * retentionSeconds;
  const heap = values.readSlope('control-claims', 'heapMebibytes') * retained;
  const log =
    (values.estimateAt('control-claims', 'bytes', 0) * rate) / bytesPerMebibyte;
  const name = `jobs of ${String(tasks)}`;
  return [
    {
      figure: `${name}: claims a second`,
      value: formatNumber(rate),
      source: 'starts a second / tasks in a job, if every job is claimed',
    },
    {
      figure: `${name}: processor of the leaders`,
      value: `${formatNumber(cores)} cores, ${formatNumber(groups)} group${groups === 1 ? '' : 's'} of replicas`,
      budget: '1 group of 3 to 7 hosts',
      source: `control-claim-rate at its largest size, ${formatNumber(perClaim)} ms a claim; ${formatNumber(plannedUtilization * 100)} % use`,
    },
    {
      figure: `${name}: claims retained for ${formatNumber(retentionSeconds)} s`,
      value: formatNumber(retained),
      budget: formatNumber(defaultClaimRetention.maximumClaims),
      source:
        'claims a second x time; the budget is the limit of the table unless the configuration sets another',
    },
    {
      figure: `${name}: memory of retained claims, each replica`,
      value: `${formatNumber(heap)} MiB`,
      source: 'control-claims, heap slope x retained claims',
    },
    {
      figure: `${name}: log written by each replica`,
      value: `${formatNumber(log)} MiB/s`,
      source: 'control-claims, bytes a claim; the finish of a job comes on top',
    },
  ];
}

function describeReplicas(values: SlopeValues): readonly CapacityRow[] {
  const perReplica = values.readSlope(
    'control-replicas',
    'processorMilliseconds',
  );
  const rate = targetSize.startsPerSecond / averageTasksPerJob;
  const bytes = values.readSlope('control-replicas', 'bytes');
  return [
    {
      figure: `jobs of ${String(averageTasksPerJob)}: processor of each replica beside the leader`,
      value: `${formatNumber((perReplica * rate) / millisecondsPerPercent)} % of a core, ${formatNumber((bytes * rate) / bytesPerMebibyte)} MiB/s`,
      source:
        'control-replicas, slopes x claims a second; the cost of a further replica to all of them',
    },
  ];
}

function describeRoster(values: SlopeValues): readonly CapacityRow[] {
  const retainedRuns = targetSize.workers + targetSize.restartsPerDay;
  const heap = values.readSlope('control-roster', 'heapMebibytes');
  const bytes = values.estimateAt(
    'control-roster',
    'bytes',
    targetSize.workers,
  );
  return [
    {
      figure: `roster of ${formatNumber(retainedRuns)} runs: a day of restarts is kept beside the workers`,
      value: `${formatNumber(heap * retainedRuns)} MiB`,
      source: 'control-roster, heap slope x runs',
    },
    {
      figure: `roster of ${formatNumber(targetSize.workers)} workers, sent whole`,
      value: `${formatNumber((bytes * targetSize.workers) / bytesPerMebibyte)} MiB`,
      source: 'control-roster, bytes of a registration x workers',
    },
  ];
}

function describeFollowers(
  values: SlopeValues,
  { processes }: DispatcherPlan,
): readonly CapacityRow[] {
  const processor = values.estimateAt(
    'control-followers',
    'processorMilliseconds',
    processes,
  );
  const bytes = values.readSlope('control-followers', 'bytes');
  return [
    {
      figure: `${formatNumber(processes)} dispatchers as followers of one replica`,
      value: `${formatNumber(processor / millisecondsPerPercent)} % of a core, ${formatNumber(bytes * processes)} B/s`,
      source: 'control-followers, lines',
    },
    {
      figure: 'one follower',
      value: `${formatNumber(bytes)} B/s`,
      budget: `${formatNumber(targetSize.daemonBytesPerSecond)} B/s`,
      source: 'control-followers, bytes slope',
    },
    {
      figure: `${formatNumber(targetSize.workers)} sidecars, if they followed control themselves`,
      value: `${formatNumber(values.estimateAt('control-followers', 'processorMilliseconds', targetSize.workers) / millisecondsPerPercent)} % of a core`,
      source:
        'control-followers, line at 1,600; they follow through dispatchers',
    },
  ];
}

function describeChanges(values: SlopeValues): readonly CapacityRow[] {
  const perChange = values.readLargest(
    'control-changes',
    'processorMilliseconds',
  );
  const heap = values.readSlope('control-changes', 'heapMebibytes');
  return [
    {
      figure: `${formatNumber(targetSize.changesPerDay)} changes a day: processor`,
      value: `${formatNumber((perChange * targetSize.changesPerDay) / millisecondsPerSecond)} s a day`,
      source: 'control-changes at its largest size, plan and apply',
    },
    {
      figure: 'heap of a year of changes kept as history',
      value: `${formatNumber(heap * targetSize.changesPerDay * 365)} MiB`,
      source: 'control-changes, heap slope',
    },
  ];
}
