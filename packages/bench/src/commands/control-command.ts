/** `cranberry-bench control`: claims a second, changes in force, and the time without a leader. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import {
  type CatchUpReading,
  type ClaimsReading,
  type FollowersReading,
  LeaderLoss,
  measureCatchUp,
  measureClaims,
  measureFollowers,
  measureLeaderlessTime,
} from '@cranberryturn/control';
import { createManualTimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';
import type { Command } from 'commander';

import { formatNumber, formatTable } from '../report/format-table.js';
import {
  defaultSeed,
  deliverResult,
  type MeasuringOptions,
  parseCount,
} from './shared-options.js';

/** What the command measures. */
export interface ControlFigures {
  readonly claims: readonly ClaimsReading[];
  readonly followers: FollowersReading;
  readonly catchUp: CatchUpReading;
  /** Longest time without a leader over all seeds, by the kind of loss. */
  readonly leaderlessMilliseconds: Readonly<Record<LeaderLoss, Milliseconds>>;
}

const inFlightSizes = [1, 16, 64, 256];
const claimDurationMilliseconds: Milliseconds = 2_000;
const measuredFollowers = 1_000;
const measuredChanges = 5;
const missedChanges = 600;
const leaderSeeds = 10;
const inForceBoundMilliseconds: Milliseconds = 4_000;
const leaderlessBoundMilliseconds: Milliseconds = 2_000;

/** Adds the command. */
export function addControlCommand(program: Command): void {
  program
    .command('control')
    .description(
      'measure claims, changes in force and the time without a leader',
    )
    .option('--seed <n>', 'first seed', parseCount, defaultSeed)
    .option('--json', 'print JSON')
    .option('--save <file>', 'save the result')
    .action(measureControl);
}

async function measureControl(options: MeasuringOptions): Promise<void> {
  const claims: ClaimsReading[] = [];
  for (const inFlight of inFlightSizes) {
    claims.push(
      await inFolder(folder =>
        measureClaims({
          folder,
          inFlight,
          syncDelay: 0,
          duration: claimDurationMilliseconds,
        }),
      ),
    );
  }
  const figures: ControlFigures = {
    claims,
    followers: await inFolder(folder =>
      measureFollowers({
        folder,
        followers: measuredFollowers,
        changes: measuredChanges,
      }),
    ),
    catchUp: await inFolder(folder =>
      measureCatchUp({ folder, changes: missedChanges }),
    ),
    leaderlessMilliseconds: {
      [LeaderLoss.Crash]: await findLongest(options.seed, LeaderLoss.Crash),
      [LeaderLoss.CutOff]: await findLongest(options.seed, LeaderLoss.CutOff),
    },
  };
  await deliverResult('control', options, figures, formatFigures(figures));
}

async function inFolder<Reading>(
  measure: (folder: string) => Promise<Reading>,
): Promise<Reading> {
  const folder = await mkdtemp(join(tmpdir(), 'cranberry-bench-'));
  const reading = await measure(folder);
  await rm(folder, { recursive: true, force: true });
  return reading;
}

async function findLongest(
  firstSeed: number,
  loss: LeaderLoss,
): Promise<Milliseconds> {
  let longest = 0;
  for (let seed = firstSeed; seed < firstSeed + leaderSeeds; seed += 1) {
    const timers = createManualTimerService();
    const time = await measureLeaderlessTime({ timers, seed, loss });
    longest = Math.max(longest, time);
  }
  return longest;
}

function formatFigures(figures: ControlFigures): string {
  const { followers, catchUp, leaderlessMilliseconds } = figures;
  const slowest = Math.max(...followers.slowestMilliseconds);
  return [
    'Claims over one replica with a synced log',
    formatTable(
      ['in flight', 'claims/s', 'p50 ms', 'p99 ms', 'claims/log entry'],
      figures.claims.map(one =>
        [
          one.inFlight,
          one.claimsPerSecond,
          one.p50Milliseconds,
          one.p99Milliseconds,
          one.claimsPerEntry,
        ].map(formatNumber),
      ),
    ),
    '',
    formatTable(
      ['figure', 'measured', 'target'],
      [
        describe(
          `change in force at ${formatNumber(followers.followers)} followers, ms`,
          slowest,
          inForceBoundMilliseconds,
        ),
        describe(
          `in force after ${formatNumber(catchUp.changes)} missed changes, ms`,
          catchUp.milliseconds,
          inForceBoundMilliseconds,
        ),
        describe(
          'without a leader after a crash, longest, ms of simulated time',
          leaderlessMilliseconds[LeaderLoss.Crash],
          leaderlessBoundMilliseconds,
        ),
        describe(
          'without a leader after a cut, longest, ms of simulated time',
          leaderlessMilliseconds[LeaderLoss.CutOff],
          leaderlessBoundMilliseconds,
        ),
        [
          'bytes for each follower and second',
          formatNumber(followers.bytesPerFollowerAndSecond),
          '<= 2,048',
        ],
      ],
    ),
  ].join('\n');
}

function describe(figure: string, measured: number, bound: number): string[] {
  return [figure, formatNumber(measured), `<= ${formatNumber(bound)}`];
}
