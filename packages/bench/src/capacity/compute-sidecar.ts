/** Computes the load of one sidecar at the target size. */
import { formatNumber } from '../report/format-table.js';
import type { CapacityRow } from './capacity-table.js';
import type { DispatcherPlan } from './compute-capacity.js';
import type { SlopeValues } from './slope-values.js';
import { retentionSeconds, targetSize } from './target-size.js';

const millisecondsPerPercent = 10;
const { daemonMebibytes, daemonProcessorPercent, daemonBytesPerSecond } =
  targetSize;

/** Computes the rows of the sidecar table. */
export function computeSidecar(
  values: SlopeValues,
  plan: DispatcherPlan,
): readonly CapacityRow[] {
  const rate = targetSize.startsPerSecond / targetSize.workers;
  const remembered = rate * retentionSeconds;
  const perTask = values.readLargest('sidecar-starts', 'processorMilliseconds');
  return [
    ...describeMemory(values, plan),
    describeSessions(values, 'with subsets', plan.sessionsPerSidecar),
    describeSessions(values, 'without subsets', plan.processes),
    {
      figure: 'task starts a second on one worker',
      value: formatNumber(rate),
      source: 'starts a second / workers',
    },
    {
      figure: 'processor time of running tasks (work, not control)',
      value: `${formatNumber((rate * perTask) / millisecondsPerPercent)} % of a core`,
      source: 'sidecar-starts, processor time a task at the largest size',
    },
    {
      figure: `starts remembered for ${formatNumber(retentionSeconds)} s`,
      value: formatNumber(remembered),
      source: 'starts a second on one worker x time',
    },
    {
      figure: 'heap of remembered starts with answers of 300 bytes',
      value: `${formatNumber(values.readSlope('sidecar-starts', 'heapMebibytes') * remembered)} MiB`,
      budget: `${formatNumber(daemonMebibytes)} MB with all else`,
      source: 'sidecar-starts, heap slope x remembered starts',
    },
  ];
}

function describeMemory(
  values: SlopeValues,
  plan: DispatcherPlan,
): readonly CapacityRow[] {
  const bareResident = values.estimateAt('held-memory', 'residentMebibytes', 0);
  const sidecarResident = values.estimateAt(
    'sidecar-sessions',
    'residentMebibytes',
    plan.sessionsPerSidecar,
  );
  const bareHeap = values.estimateAt('held-memory', 'heapMebibytes', 0);
  const sidecarHeap = values.estimateAt(
    'sidecar-sessions',
    'heapMebibytes',
    plan.sessionsPerSidecar,
  );
  const budget = `${formatNumber(daemonMebibytes)} MB`;
  return [
    {
      figure: 'bare Node.js process, resident',
      value: `${formatNumber(bareResident)} MiB`,
      budget,
      source: 'held-memory, resident line at 0',
    },
    {
      figure: 'idle sidecar, resident, all together',
      value: `${formatNumber(sidecarResident)} MiB`,
      budget,
      source: 'sidecar-sessions, resident line',
    },
    {
      figure: 'our increment over the bare process, resident',
      value: `${formatNumber(sidecarResident - bareResident)} MiB`,
      budget,
      source: 'the difference',
    },
    {
      figure: 'our increment over the bare process, heap',
      value: `${formatNumber(sidecarHeap - bareHeap)} MiB`,
      budget,
      source: 'sidecar-sessions and held-memory, heap lines',
    },
  ];
}

function describeSessions(
  values: SlopeValues,
  mode: string,
  dispatchers: number,
): CapacityRow {
  const processor = values.estimateAt(
    'sidecar-sessions',
    'processorMilliseconds',
    dispatchers,
  );
  const bytes = values.readSlope('sidecar-sessions', 'bytes') * dispatchers;
  return {
    figure: `sessions with ${formatNumber(dispatchers)} dispatchers, ${mode}`,
    value: `${formatNumber(processor / millisecondsPerPercent)} % of a core, ${formatNumber(bytes)} B/s`,
    budget: `${formatNumber(daemonProcessorPercent)} %, ${formatNumber(daemonBytesPerSecond)} B/s`,
    source: 'sidecar-sessions, processor line and bytes slope x dispatchers',
  };
}
