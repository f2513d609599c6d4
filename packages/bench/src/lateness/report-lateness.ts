/** Composes the tables of late jobs, idle processors and granted capacity from the log lines of a play. */
import * as z from 'zod';

import { formatTable } from '../report/format-table.js';
import { mean, quantile } from '../results/statistics.js';
import {
  collectJobs,
  type LoggedJob,
  type LoggedPlay,
} from './collect-jobs.js';
import { measureIdle, WaitingPlace } from './measure-idle.js';
import { measureStages, Stage } from './measure-stages.js';
import type { LogLine } from './read-log.js';

const stages = Object.values(Stage);
const places = Object.values(WaitingPlace);
const completed = 'completed';
/** Number of late jobs that are listed one by one. */
const listedJobs = 10;
const percent = 100;
const noValue = '-';
const median = 0.5;
const high = 0.95;

/** Composes the report. The objective of a job is the one that its dispatcher expected when it admitted the job. */
export function reportLateness(lines: readonly LogLine[]): string {
  const play = collectJobs(lines);
  return [
    ...reportStages(play),
    '',
    ...reportIdle(play),
    '',
    ...reportGrants(lines),
  ].join('\n');
}

function reportStages({ jobs }: LoggedPlay): readonly string[] {
  const all = [...jobs.values()];
  const late = all.filter(isLate);
  const queues = [...new Set(all.map(({ queue }) => queue))];
  const rows = queues.map(queue => {
    const ofQueue = all.filter(job => job.queue === queue);
    const lateOfQueue = ofQueue.filter(isLate);
    const times = lateOfQueue.flatMap(job => measureStages(job) ?? []);
    const means = stages.map(stage => formatMean(times.map(one => one[stage])));
    const share = (percent * lateOfQueue.length) / ofQueue.length;
    return [
      queue,
      String(ofQueue.length),
      `${share.toFixed(1)} %`,
      String(times.length),
      ...means,
    ];
  });
  const listed = late.slice(0, listedJobs).map(job => {
    const times = measureStages(job);
    return [
      job.requestId,
      job.queue,
      String(job.tasks),
      ...stages.map(stage => times?.[stage].toFixed(0) ?? noValue),
    ];
  });
  return [
    'Late jobs, mean milliseconds by stage along the task that ended last:',
    formatTable(['queue', 'jobs', 'late', 'traced', ...stages], rows),
    '',
    `The first ${String(listed.length)} late jobs:`,
    formatTable(['request', 'queue', 'tasks', ...stages], listed),
  ];
}

function reportIdle(play: LoggedPlay): readonly string[] {
  const { used, idle } = measureIdle(play);
  const rows = places.map(place => [
    place,
    idle[place].toFixed(1),
    used > 0 ? `${((percent * idle[place]) / used).toFixed(2)} %` : noValue,
  ]);
  return [
    `Processor-seconds idle while a task waits (${used.toFixed(0)} used), by where it waits:`,
    formatTable(['where', 'idle', 'of used'], rows),
  ];
}

const grantedSchema = z.object({
  grants: z.array(z.object({ grant: z.number() })),
  waitedMilliseconds: z.number(),
});
const placedSchema = z.object({
  coordinator: z.string(),
  grant: z.number(),
});
const receivedSchema = z.object({
  grant: z.object({ coordinator: z.string(), grant: z.number() }),
});

/** How long grants for requests that waited took to reach their workers; processors were idle meanwhile. */
function reportGrants(lines: readonly LogLine[]): readonly string[] {
  const grantedAt = new Map<string, number>();
  const placedAt = new Map<string, number>();
  const toPlaced: number[] = [];
  const toReceived: number[] = [];
  for (const { at, process, message, fields } of lines) {
    if (message === 'capacity granted') {
      const { grants, waitedMilliseconds } = grantedSchema.parse(fields);
      if (waitedMilliseconds <= 0) continue;
      for (const { grant } of grants)
        grantedAt.set(`${process}/${String(grant)}`, at);
    }
    if (message === 'tasks placed') {
      const placed = placedSchema.safeParse(fields);
      if (!placed.success) continue;
      const { coordinator, grant } = placed.data;
      const key = `${coordinator}/${String(grant)}`;
      const since = grantedAt.get(key);
      if (since === undefined) continue;
      placedAt.set(key, at);
      toPlaced.push(at - since);
    }
    if (message === 'order received') {
      const received = receivedSchema.safeParse(fields);
      if (!received.success) continue;
      const { coordinator, grant } = received.data.grant;
      const since = placedAt.get(`${coordinator}/${String(grant)}`);
      if (since !== undefined) toReceived.push(at - since);
    }
  }
  const formatRow = (name: string, times: readonly number[]): string[] => [
    name,
    String(times.length),
    formatQuantile(times, median),
    formatQuantile(times, high),
  ];
  return [
    'Milliseconds from a grant for a request that waited to its order (clocks of hosts differ):',
    formatTable(
      ['leg', 'grants', 'p50', 'p95'],
      [
        formatRow('granted to placed', toPlaced),
        formatRow('placed to received', toReceived),
      ],
    ),
  ];
}

function isLate({ endedAt, dueAt, kind }: LoggedJob): boolean {
  return endedAt !== undefined && kind === completed && endedAt > dueAt;
}

function formatMean(values: readonly number[]): string {
  return values.length === 0 ? noValue : mean(values).toFixed(0);
}

function formatQuantile(values: readonly number[], fraction: number): string {
  if (values.length === 0) return noValue;
  const sorted = values.toSorted((left, right) => left - right);
  return quantile(sorted, fraction).toFixed(1);
}
