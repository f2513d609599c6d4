/** Log writer for the standard output: JSON lines through a bounded buffer. */
import type { Writable } from 'node:stream';

import { LogLevel } from '@cranberryturn/types';

import { createBoundedOutput } from './bounded-output.js';
import type { LineWriter, LoggerOptions } from './logger.js';
import { redactSecrets } from './redact.js';

/** Creates a writer that never waits for a slow reader of `destination`; lines may be dropped. Redacts secrets. */
export function createStandardOutputWriter(
  options: Pick<LoggerOptions, 'process' | 'timers' | 'level'>,
  destination: Writable,
): LineWriter {
  const output = createBoundedOutput(destination, options.timers);
  let closing: Promise<void> | undefined;
  return {
    level: options.level ?? LogLevel.Info,
    write: (level, message, fields) => {
      if (closing !== undefined) return;
      const line = {
        at: new Date(options.timers.wallClock()).toISOString(),
        level,
        process: options.process,
        message: redactSecrets(message),
        ...(redactSecrets(fields) as object),
      };
      output.write(`${JSON.stringify(line)}\n`);
    },
    close: () => {
      closing ??= new Promise(resolve => {
        output.end(resolve);
      });
      return closing;
    },
  };
}
