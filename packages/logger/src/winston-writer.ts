/** Log writer on winston, for files, streams and the standard error output. */
import { createRequire } from 'node:module';

import { LogFormat, LogLevel } from '@cranberryturn/types';
import type * as Winston from 'winston';

import {
  type LineWriter,
  type LogFields,
  type LoggerOptions,
  severityByLevel,
} from './logger.js';
import { redactSecrets } from './redact.js';

/** Loads winston on first use; processes that log to the standard output never load it. */
function loadWinston(): typeof Winston {
  return createRequire(import.meta.url)('winston') as typeof Winston;
}

/** Creates a writer for the stream or file of `options`, or for the standard error output. Redacts secrets. */
export function createWinstonWriter(options: LoggerOptions): LineWriter {
  const { createLogger } = loadWinston();
  const level = options.level ?? LogLevel.Info;
  const transport = createTransport(options);
  const winston = createLogger({
    levels: severityByLevel,
    level,
    format: createFormat(options),
    transports: [transport],
  });
  let closing: Promise<void> | undefined;
  return {
    level,
    write: (lineLevel, message, fields) => {
      if (closing !== undefined) return;
      winston.log({
        level: lineLevel,
        message: redactSecrets(message) as string,
        at: new Date(options.timers.wallClock()).toISOString(),
        process: options.process,
        fields: redactSecrets(fields),
      });
    },
    close: () => {
      closing ??= new Promise(resolve => {
        transport.once('finish', resolve);
        endWhenDrained(winston);
      });
      return closing;
    },
  };
}

/** Ends the logger once its buffers are empty; ending it earlier would lose lines not yet passed to the transport. */
function endWhenDrained(winston: Winston.Logger): void {
  if (winston.readableLength === 0 && winston.writableLength === 0) {
    winston.end();
    return;
  }
  setImmediate(() => {
    endWhenDrained(winston);
  });
}

function createTransport(options: LoggerOptions) {
  const { transports } = loadWinston();
  if (options.stream !== undefined) {
    return new transports.Stream({ stream: options.stream });
  }
  if (options.file !== undefined) {
    return new transports.File({ filename: options.file });
  }
  return new transports.Stream({ stream: process.stderr });
}

function createFormat(options: LoggerOptions) {
  const { format } = loadWinston();
  switch (options.format ?? chooseDefaultFormat(options)) {
    case LogFormat.Json:
      return format.printf(({ at, level, process: name, message, fields }) =>
        JSON.stringify({
          at,
          level,
          process: name,
          message,
          ...toLogFields(fields),
        }),
      );
    case LogFormat.Readable:
      return format.combine(
        format.colorize({
          colors: {
            error: 'red',
            warn: 'yellow',
            info: 'green',
            debug: 'gray',
          },
        }),
        format.printf(({ at, level, process: name, message, fields }) =>
          [at, level, name, message, formatFields(toLogFields(fields))]
            .filter(part => part !== '')
            .join(' '),
        ),
      );
  }
}

function chooseDefaultFormat(options: LoggerOptions): LogFormat {
  const isTerminal =
    options.file === undefined &&
    options.stream === undefined &&
    process.stderr.isTTY;
  return isTerminal ? LogFormat.Readable : LogFormat.Json;
}

function toLogFields(fields: unknown): LogFields {
  return (fields ?? {}) as LogFields;
}

function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
