/** Measures the commit rate of one replica, for benchmarks. */
import type { TimerService } from '@cranberryturn/timers';
import { sleep } from '@cranberryturn/timers';
import { ConnectionError, type CranberryError } from '@cranberryturn/errors';
import { createRandomSource } from '@cranberryturn/random';
import type { Milliseconds } from '@cranberryturn/types';
import { err, errAsync, ok, ResultAsync, type Result } from 'neverthrow';

import { ReplicaRole, StartKind, type ReplicatedLog } from './log-types.js';
import { MemberRole } from './members.js';
import { openReplicatedLog } from './open-replicated-log.js';
import type { LogDisk } from './ports/log-disk.js';

const leaderPollMilliseconds: Milliseconds = 1;

/** Parameters of a measurement. */
export interface CommitRateOptions {
  readonly disk: LogDisk;
  readonly timers: TimerService;
  /** Number of proposals in flight. */
  readonly concurrency: number;
  readonly proposals: number;
  readonly commandBytes: number;
}

/** Results of one measurement. */
export interface CommitRate {
  readonly concurrency: number;
  readonly proposals: number;
  readonly proposalsPerSecond: number;
  readonly syncs: number;
  /** Mean number of proposals per sync. */
  readonly proposalsPerSync: number;
  readonly p50Milliseconds: Milliseconds;
  readonly p99Milliseconds: Milliseconds;
}

/** Commits proposals to a log with a single replica on the given disk. */
export function measureCommitRate(
  options: CommitRateOptions,
): ResultAsync<CommitRate, CranberryError> {
  return new ResultAsync(measure(options));
}

/** Wraps a disk so that every sync takes `delay` longer. */
export function delaySyncs(
  disk: LogDisk,
  timers: TimerService,
  delay: Milliseconds,
): LogDisk {
  return {
    ...disk,
    sync: file =>
      ResultAsync.fromSafePromise(sleep(timers, delay)).andThen(() =>
        disk.sync(file),
      ),
  };
}

async function measure(
  options: CommitRateOptions,
): Promise<Result<CommitRate, CranberryError>> {
  const { timers, concurrency, proposals } = options;
  const counted = countSyncs(options.disk);
  const opened = await openSingleReplica(options, counted.disk);
  if (opened.isErr()) return err(opened.error);
  const log = opened.value;
  while (log.status().role !== ReplicaRole.Leader) {
    await sleep(timers, leaderPollMilliseconds);
  }
  const syncsBefore = counted.syncs();
  const startedAt = timers.now();
  const latencies: Milliseconds[] = [];
  const proposalsPerClient = Math.ceil(proposals / concurrency);
  const failures = await Promise.all(
    Array.from({ length: concurrency }, () =>
      proposeInTurn(log, options, proposalsPerClient, latencies),
    ),
  );
  const seconds = (timers.now() - startedAt) / 1_000;
  const syncs = counted.syncs() - syncsBefore;
  await log.stop();
  const failure = failures.find(error => error !== undefined);
  if (failure !== undefined) return err(failure);
  latencies.sort((left, right) => left - right);
  return ok({
    concurrency,
    proposals: latencies.length,
    proposalsPerSecond: latencies.length / seconds,
    syncs,
    proposalsPerSync: latencies.length / syncs,
    p50Milliseconds: percentile(latencies, 0.5),
    p99Milliseconds: percentile(latencies, 0.99),
  });
}

async function proposeInTurn(
  log: ReplicatedLog<number>,
  options: CommitRateOptions,
  count: number,
  latencies: Milliseconds[],
): Promise<CranberryError | undefined> {
  const command = new Uint8Array(options.commandBytes);
  for (let number = 0; number < count; number += 1) {
    const startedAt = options.timers.now();
    const result = await log.propose(command);
    if (result.isErr()) return result.error;
    latencies.push(options.timers.now() - startedAt);
  }
  return undefined;
}

function openSingleReplica(
  options: CommitRateOptions,
  disk: LogDisk,
): ResultAsync<ReplicatedLog<number>, CranberryError> {
  const replicaId = 'measured';
  let applied = 0;
  return openReplicatedLog<number>({
    disk,
    timers: options.timers,
    random: createRandomSource(1),
    link: {
      call: peer =>
        errAsync(
          new ConnectionError('A log with a single replica has no peers.', {
            step: 'call',
            peer,
          }),
        ),
    },
    stateMachine: {
      apply: () => (applied += 1),
      snapshot: () => new Uint8Array(0),
      restore: () => undefined,
    },
    start: {
      kind: StartKind.Bootstrap,
      replicaId,
      members: [{ replicaId, role: MemberRole.Voter, address: '' }],
    },
  });
}

function countSyncs(disk: LogDisk): {
  readonly disk: LogDisk;
  readonly syncs: () => number;
} {
  let syncs = 0;
  const sync: LogDisk['sync'] = file => {
    syncs += 1;
    return disk.sync(file);
  };
  return { disk: { ...disk, sync }, syncs: () => syncs };
}

function percentile(sorted: readonly number[], share: number): number {
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}
