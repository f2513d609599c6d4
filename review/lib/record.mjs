/** The record of a script: what was sent, answered and run. */
import { createWriteStream } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** Below the 120 s that a script may take. */
const longestMilliseconds = 110_000;
const startedAt = performance.now();

/** Milliseconds since the start of the script. */
export function now() {
  return performance.now() - startedAt;
}

export function createRecord(path) {
  const stream = createWriteStream(path);
  return {
    write: (text, details) => {
      const tail = details === undefined ? '' : ` ${JSON.stringify(details)}`;
      stream.write(`${(now() / 1000).toFixed(3).padStart(8)} ${text}${tail}\n`);
    },
    close: () => new Promise(resolve => stream.end(resolve)),
  };
}

/** Runs a case: 1 when the rule was broken, 0 when it held, 2 when the case couldn't run. */
export async function runCase(folder, play) {
  const record = createRecord(new URL('record.txt', folder));
  const hasTrouble = process.env.TROUBLE !== '0';
  // The exit ends all processes that the script started, also when it is ended from outside or takes too long.
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'])
    process.once(signal, () => process.exit(2));
  setTimeout(() => process.exit(2), longestMilliseconds).unref();
  let code = 2;
  try {
    record.write(`begins, ${hasTrouble ? 'with' : 'without'} the disruption`);
    const broken = await play({ record, hasTrouble });
    for (const line of broken) {
      record.write(`BROKEN ${line}`);
      console.log(`broken: ${line}`);
    }
    code = broken.length > 0 ? 1 : 0;
    record.write(code === 1 ? 'the rule was broken' : 'the rule held');
    console.log(code === 1 ? 'the rule was broken' : 'the rule held');
  } catch (error) {
    record.write(`could not run: ${error.stack}`);
    console.error(`could not run: ${error.stack}`);
  }
  await record.close();
  process.exit(code);
}
