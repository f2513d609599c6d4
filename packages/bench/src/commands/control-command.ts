/** `cranberry-bench control`: measures claims, followers, catch-up and the time without a leader. */
import { mkdtemp, rm } from 'node:fs/promises';
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

import { formatTable } from '../report/format-table.js';
import {
  defaultSeed,
  outputResult,
  loadComparison,
  type MeasuringOptions,
  parseCount,
  print,
} from './shared-options.js';

interface ControlOptions extends MeasuringOptions {
  readonly folder: string;
}

/** All measurements of control, as saved in result files. */
export interface ControlReadings {
  readonly claims: readonly ClaimsReading[];
  readonly followers: FollowersReading;
  readonly catchUps: readonly CatchUpReading[];
  readonly leaderless: readonly LeaderlessReading[];
}

interface LeaderlessReading {
  readonly loss: LeaderLoss;
  /** One value per seed. */
  readonly milliseconds: readonly Milliseconds[];
}

const claimsInFlight = [1, 8, 64, 256, 1_024];
const syncDelaysMilliseconds = [0, 5];
const claimsDurationMilliseconds = 2_000;
const followerCount = 1_000;
const changesInForce = 10;
const missedChanges = [150, 600];
const leaderlessSeeds = 10;

/** Adds the command to `program`. */
export function addControlCommand(program: Command): void {
  program
    .command('control')
    .description('measure claims, followers, catch-up and changes of leader')
    .option('--folder <folder>', 'folder on the disk to be measured', '.')
    .option(
      '--seed <n>',
      'first seed of the leader losses',
      parseCount,
      defaultSeed,
    )
    .option('--json', 'print JSON')
    .option('--save <file>', 'save the result')
    .option('--compare <file or revision>', 'show before and after')
    .action(runControl);
}

async function runControl(options: ControlOptions): Promise<void> {
  const parent = await mkdtemp(join(options.folder, 'control-bench-'));
  try {
    const readings = await measureAll(parent, options.seed);
    await outputResult('control', options, readings, formatReadings(readings));
    if (options.compare === undefined) return;
    const before = await loadComparison<ControlReadings>(options.compare);
    print(`Before: commit ${before.origin.commit}`);
    print(formatReadings(before.content));
  } finally {
    await rm(parent, { recursive: true, force: true });
  }
}

async function measureAll(
  parent: string,
  seed: number,
): Promise<ControlReadings> {
  const createFolder = () => mkdtemp(join(parent, 'run-'));
  const claims: ClaimsReading[] = [];
  for (const syncDelay of syncDelaysMilliseconds) {
    for (const inFlight of claimsInFlight) {
      const folder = await createFolder();
      const duration = claimsDurationMilliseconds;
      claims.push(
        await measureClaims({ folder, inFlight, syncDelay, duration }),
      );
    }
  }
  const followers = await measureFollowers({
    folder: await createFolder(),
    followers: followerCount,
    changes: changesInForce,
  });
  const catchUps: CatchUpReading[] = [];
  for (const changes of missedChanges) {
    catchUps.push(
      await measureCatchUp({ folder: await createFolder(), changes }),
    );
  }
  const leaderless: LeaderlessReading[] = [];
  for (const loss of Object.values(LeaderLoss)) {
    leaderless.push({
      loss,
      milliseconds: await measureLeaderlessTimes(loss, seed),
    });
  }
  return { claims, followers, catchUps, leaderless };
}

async function measureLeaderlessTimes(
  loss: LeaderLoss,
  firstSeed: number,
): Promise<readonly Milliseconds[]> {
  const waits: Milliseconds[] = [];
  for (let number = 0; number < leaderlessSeeds; number += 1) {
    const timers = createManualTimerService();
    const seed = firstSeed + number;
    waits.push(await measureLeaderlessTime({ timers, seed, loss }));
  }
  return waits;
}

function formatReadings(readings: ControlReadings): string {
  const { claims, followers, catchUps, leaderless } = readings;
  const slowest = Math.max(...followers.slowestMilliseconds);
  return [
    formatTable(
      ['in flight', 'added sync ms', 'claims/s', 'p50 ms', 'p99 ms', 'a entry'],
      claims.map(entry => [
        String(entry.inFlight),
        String(entry.syncDelayMilliseconds),
        entry.claimsPerSecond.toFixed(0),
        entry.p50Milliseconds.toFixed(1),
        entry.p99Milliseconds.toFixed(1),
        entry.claimsPerEntry.toFixed(1),
      ]),
    ),
    '',
    `In force at ${String(followers.followers)} followers: ${slowest.toFixed(0)} ms at most (stated 4,000, aim 1,000).`,
    `For each follower and change: ${followers.framesPerFollowerAndChange.toFixed(1)} frames, ${followers.bytesPerFollowerAndChange.toFixed(0)} bytes, ${followers.processorMillisecondsPerFollowerAndChange.toFixed(2)} ms of processor.`,
    `For each follower and second: ${followers.bytesPerFollowerAndSecond.toFixed(0)} bytes (stated 2,000), ${followers.processorMillisecondsPerFollowerAndSecond.toFixed(2)} ms of processor (stated 40).`,
    ...catchUps.map(
      entry =>
        `Catch-up after ${String(entry.changes)} changes: ${entry.milliseconds.toFixed(0)} ms, ${String(entry.bytes)} bytes (stated 4,000 ms).`,
    ),
    ...leaderless.map(
      ({ loss, milliseconds }) =>
        `Without a leader after ${loss}, simulated: ${String(Math.min(...milliseconds))} to ${String(Math.max(...milliseconds))} ms (stated 2,000).`,
    ),
  ].join('\n');
}
