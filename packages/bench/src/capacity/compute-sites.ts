/** Computes the processes and connections of each data centre at the target size. */
import { formatNumber } from '../report/format-table.js';
import type { CapacityRow } from './capacity-table.js';
import type { DispatcherPlan } from './compute-capacity.js';
import { targetSize } from './target-size.js';

/** Control hosts; a majority of five remains after the loss of two. */
const controlHosts = 5;

/** Computes the rows of the sites table. */
export function computeSites(plan: DispatcherPlan): readonly CapacityRow[] {
  const { dataCentres, regions, workers } = targetSize;
  const dispatchers = Math.ceil(plan.processes / dataCentres);
  const majority = Math.ceil((controlHosts + 1) / regions);
  return [
    {
      figure: 'workers with their sidecars in a data centre',
      value: formatNumber(Math.ceil(workers / dataCentres)),
      source: 'workers / data centres, rounded up',
    },
    {
      figure: 'dispatchers in a data centre',
      value: formatNumber(dispatchers),
      source: `${formatNumber(plan.processes)} dispatchers / data centres, rounded up`,
    },
    {
      figure: 'connections of a dispatcher',
      value: formatNumber(
        plan.sidecarsPerDispatcher + plan.processes - 1 + controlHosts,
      ),
      source: 'its sidecars, the other dispatchers and the control hosts',
    },
    {
      figure: 'connections of a sidecar',
      value: formatNumber(plan.sessionsPerSidecar),
      source: 'its dispatchers; none with control',
    },
    {
      figure: 'connections of a control host',
      value: formatNumber(plan.processes + controlHosts - 1),
      source: 'all dispatchers and the other control hosts',
    },
    {
      figure: 'control hosts',
      value: `${formatNumber(controlHosts)}: ${formatNumber(majority)} in one region, ${formatNumber(controlHosts - majority)} in the other, no two in a data centre`,
      budget: formatNumber(targetSize.controlHosts),
      source: 'two may be lost; the region with the majority goes on alone',
    },
  ];
}
