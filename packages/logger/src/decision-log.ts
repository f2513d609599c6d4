/** Decision log: one JSON line for each routing or placement decision. */
import { createWriteStream, type WriteStream } from 'node:fs';

import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import {
  type Decision,
  type DecisionRecord,
  type DecisionSink,
  LogLevel,
} from '@cranberryturn/types';

import type { Logger } from './logger.js';

const flushIntervalMilliseconds = 200;
const flushThresholdCharacters = 65_536;
const maximumUnwrittenBytes = 33_554_432;

/** Process name, clock and destination of a decision log. */
export interface DecisionLogOptions {
  readonly logger: Logger;
  /** Name of the process, written into each record. */
  readonly process: string;
  readonly timers: TimerService;
  /** File to append to. When absent, decisions go to `logger` at level info. */
  readonly file?: string | undefined;
}

/** Open decision log. */
export interface DecisionLog {
  /** Records one decision; returns immediately when the log level disables decisions. */
  readonly record: DecisionSink;
  /** Flushes the buffer and closes the file. */
  close(): Promise<void>;
}

/** Opens a decision log. An unwritable file is logged once as an error, and its decisions are discarded. */
export function createDecisionLog(options: DecisionLogOptions): DecisionLog {
  if (options.file !== undefined)
    return openDecisionFile(options, options.file);
  const { logger } = options;
  if (!logger.isEnabled(LogLevel.Info)) {
    return { record: () => undefined, close: () => Promise.resolve() };
  }
  return {
    record: (decision, requestId) => {
      logger.info('decision', {
        ...decision,
        ...(requestId === undefined ? {} : { requestId }),
      });
    },
    close: () => Promise.resolve(),
  };
}

function openDecisionFile(
  options: DecisionLogOptions,
  file: string,
): DecisionLog {
  const { logger, timers } = options;
  const stream = createWriteStream(file, { flags: 'a', mode: 0o640 });
  let buffer = '';
  let dropped = 0;
  let hasFailed = false;
  let flushTimer: TimerSubscription | undefined;

  stream.on('error', error => {
    if (!hasFailed)
      logger.error('decision file cannot be written', { file, error });
    hasFailed = true;
  });

  const flush = (): void => {
    flushTimer?.cancel();
    flushTimer = undefined;
    if (buffer === '' || hasFailed) return;
    stream.write(buffer);
    buffer = '';
    if (dropped > 0) logger.warn('decision lines dropped', { file, dropped });
    dropped = 0;
  };

  const record: DecisionSink = (decision, requestId) => {
    if (hasFailed || stream.writableEnded) return;
    if (stream.writableLength > maximumUnwrittenBytes) {
      dropped += 1;
      return;
    }
    buffer += `${JSON.stringify(createDecisionRecord(options, decision, requestId))}\n`;
    if (buffer.length >= flushThresholdCharacters) flush();
    else flushTimer ??= timers.after(flushIntervalMilliseconds, flush);
  };

  return {
    record,
    close: () => {
      flush();
      return closeStream(stream);
    },
  };
}

function closeStream(stream: WriteStream): Promise<void> {
  if (stream.closed) return Promise.resolve();
  return new Promise(resolve => {
    stream.once('close', resolve);
    stream.end();
  });
}

/** Adds time, process and request identifier to a decision. */
export function createDecisionRecord(
  options: Pick<DecisionLogOptions, 'process' | 'timers'>,
  decision: Decision,
  requestId: string | undefined,
): DecisionRecord {
  return {
    at: options.timers.wallClock(),
    process: options.process,
    ...(requestId === undefined ? {} : { requestId }),
    ...decision,
  };
}
