#!/usr/bin/env node
/** Prints commit rates measured on files with real syncs: `measure FOLDER`. */
import { join } from 'node:path';

import { createSystemTimerService } from '@cranberryturn/timers';

import { createFileLogDisk } from '../adapters/file-log-disk.js';
import { delaySyncs, measureCommitRate } from '../measure-commit-rate.js';

const folder = process.argv[2];
if (folder === undefined)
  throw new Error(
    'The folder argument is missing. Give a folder on the disk to measure.',
  );
const timers = createSystemTimerService();
const commandBytes = 200;

for (const delay of [0, 5]) {
  for (const concurrency of [1, 8, 64, 512]) {
    const name = `run-${String(delay)}-${String(concurrency)}-${String(process.pid)}`;
    const file = createFileLogDisk(join(folder, name));
    const disk = delay === 0 ? file : delaySyncs(file, timers, delay);
    const proposals = concurrency * (delay === 0 ? 200 : 100);
    const options = { disk, timers, concurrency, proposals, commandBytes };
    const rate = await measureCommitRate(options);
    if (rate.isErr()) throw rate.error;
    const { proposalsPerSecond, proposalsPerSync, p50Milliseconds } =
      rate.value;
    console.log(
      [
        `delay ${String(delay)} ms`,
        `concurrency ${String(concurrency)}`,
        `${proposalsPerSecond.toFixed(0)}/s`,
        `${proposalsPerSync.toFixed(1)} per sync`,
        `p50 ${p50Milliseconds.toFixed(2)} ms`,
        `p99 ${rate.value.p99Milliseconds.toFixed(2)} ms`,
      ].join(', '),
    );
  }
}
