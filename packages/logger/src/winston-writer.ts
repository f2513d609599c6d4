/** Writes log lines with winston, to a file, a stream or the standard error output. */
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

/** Loaded with the first writer: a process that logs to its standard output does without. */
function loadWinston(): typeof Winston {
  return createRequire(import.meta.url)('winston') as typeof Winston;
}

/** Creates the writer. */
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

/** Ending a logger also ends its transport, so that lines still on the way to it would be lost. */
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
