/** Compares the ways to bind tasks to workers under the same loads. */
import { createRandomSource } from '@cranberryturn/random';
import type { Milliseconds } from '@cranberryturn/types';

import { formatTable } from '../report/format-table.js';
import { mean } from '../results/statistics.js';
import { jobKinds } from './binding-load.js';
import {
  type BindingResult,
  type BindingWay,
  BindingWorld,
} from './binding-world.js';
import { createCentralQueue } from './central-queue.js';
import { createEarlyBinding } from './early-binding.js';
import { createReservations } from './reservations.js';
import { createSharedQueue } from './shared-queue.js';

interface NamedWay {
  readonly name: string;
  readonly create: (world: BindingWorld) => BindingWay;
}

/** Loads to compare under. */
export interface BindingComparisonOptions {
  readonly seeds: readonly number[];
  readonly factors: readonly number[];
  readonly dispatchers: number;
  readonly workers: number;
  readonly durationMilliseconds: Milliseconds;
}

/** Means of one way over the seeds of one load. */
export interface BindingRow extends BindingResult {
  readonly factor: number;
  readonly way: string;
}

const choiceSeed = 1;
const everyWorker = Number.POSITIVE_INFINITY;
const usualReportMilliseconds: Milliseconds = 250;
const percent = 100;

const ways: readonly NamedWay[] = [
  ...[0, 10, 30].map(gap => ({
    name: `central queue, gap ${String(gap)} ms`,
    create: (world: BindingWorld) => createCentralQueue(world, gap),
  })),
  ...[false, true].map(onChange => ({
    name: `early binding, reports ${onChange ? 'on each change' : 'by the clock'}`,
    create: (world: BindingWorld) =>
      createEarlyBinding(
        world,
        { intervalMilliseconds: usualReportMilliseconds, onChange },
        createRandomSource(choiceSeed),
      ),
  })),
  ...[2, 4, everyWorker].map(places => ({
    name: `reservations at ${Number.isFinite(places) ? String(places) : 'all'} workers`,
    create: (world: BindingWorld) =>
      createReservations(world, places, createRandomSource(choiceSeed)),
  })),
  ...[0, 0.2].map(aheadShare => ({
    name: `shared queue, ${String(percent * aheadShare)} % ahead`,
    create: (world: BindingWorld) => createSharedQueue(world, { aheadShare }),
  })),
];

/** Runs every way under every load. The same options give the same rows. */
export function compareBinding(
  options: BindingComparisonOptions,
): readonly BindingRow[] {
  return options.factors.flatMap(factor =>
    ways.map(way => ({
      factor,
      way: way.name,
      ...averageResults(
        options.seeds.map(seed => {
          const world = new BindingWorld({ ...options, seed, factor });
          return world.play(way.create(world));
        }),
      ),
    })),
  );
}

/** Formats the comparison as a text table with one line a row. */
export function formatBinding(rows: readonly BindingRow[]): string {
  const names = jobKinds.map(({ name }) => name);
  return formatTable(
    ['way', 'load', ...names.map(name => `late ${name}`), 'messages', 'idle'],
    rows.map(({ way, factor, lateShares, messagesPerTask, idleShare }) => [
      way,
      String(factor),
      ...names.map(name => formatShare(lateShares.get(name) ?? 0)),
      messagesPerTask.toFixed(2),
      formatShare(idleShare),
    ]),
  );
}

function averageResults(results: readonly BindingResult[]): BindingResult {
  return {
    lateShares: new Map(
      jobKinds.map(({ name }) => [
        name,
        mean(results.map(one => one.lateShares.get(name) ?? 0)),
      ]),
    ),
    messagesPerTask: mean(results.map(one => one.messagesPerTask)),
    idleShare: mean(results.map(one => one.idleShare)),
  };
}

function formatShare(share: number): string {
  return `${(percent * share).toFixed(2)} %`;
}
