/** Structured logs: one line for each event, as JSON or as text for a terminal. */
import type { Writable } from 'node:stream';

import type { TimerService } from '@cranberryturn/timers';
import { LogFormat, LogLevel } from '@cranberryturn/types';
import {
  createLogger as createWinstonLogger,
  format,
  type Logger as WinstonLogger,
  transports,
} from 'winston';

import { createBoundedOutput } from './bounded-output.js';
import { redactSecrets } from './redact.js';

/** Named values of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes log lines of one process. */
export interface Logger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
  /** Whether lines of `level` are written. Ask before building costly fields. */
  isEnabled(level: LogLevel): boolean;
  /** A logger that adds `fields` to each line, for example a request identifier. */
  child(fields: LogFields): Logger;
  /** Writes out what is buffered. */
  close(): Promise<void>;
}

/** How a process logs. */
export interface LoggerOptions {
  /** Name of the process, written on each line. */
  readonly process: string;
  readonly timers: TimerService;
  readonly level?: LogLevel | undefined;
  /** Without a value: readable when the standard error output is a terminal, JSON otherwise. */
  readonly format?: LogFormat | undefined;
  /** File that lines are added to, instead of the standard error output. */
  readonly file?: string | undefined;
  /** Whether lines go to the standard output, in bounded amount. */
  readonly standardOutput?: boolean | undefined;
  /** Receives the lines instead of a file or the standard error output; for tests. */
  readonly stream?: Writable | undefined;
}

interface LineWriter {
  readonly level: LogLevel;
  write(level: LogLevel, message: string, fields: LogFields): void;
  close(): Promise<void>;
}

const severities: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warn]: 1,
  [LogLevel.Info]: 2,
  [LogLevel.Debug]: 3,
};

/** Creates the logger of a process. */
export function createLogger(options: LoggerOptions): Logger {
  return wrapWriter(createLineWriter(options), {});
}

/** Creates a logger that writes nothing, for tests. */
export function createSilentLogger(): Logger {
  const ignore = (): void => undefined;
  const silent: Logger = {
    error: ignore,
    warn: ignore,
    info: ignore,
    debug: ignore,
    isEnabled: () => false,
    child: () => silent,
    close: () => Promise.resolve(),
  };
  return silent;
}

function wrapWriter(writer: LineWriter, inherited: LogFields): Logger {
  const isEnabled = (level: LogLevel): boolean =>
    severities[level] <= severities[writer.level];
  const log =
    (level: LogLevel) =>
    (message: string, fields?: LogFields): void => {
      if (!isEnabled(level)) return;
      writer.write(level, message, { ...inherited, ...fields });
    };
  return {
    error: log(LogLevel.Error),
    warn: log(LogLevel.Warn),
    info: log(LogLevel.Info),
    debug: log(LogLevel.Debug),
    isEnabled,
    child: fields => wrapWriter(writer, { ...inherited, ...fields }),
    close: () => writer.close(),
  };
}

function createLineWriter(options: LoggerOptions): LineWriter {
  const level = options.level ?? LogLevel.Info;
  const transport = createTransport(options);
  const winston = createWinstonLogger({
    levels: severities,
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
        endOnceWritten(winston);
      });
      return closing;
    },
  };
}

/** Ending a logger also ends its transport, so that lines still on the way to it would be lost. */
function endOnceWritten(winston: WinstonLogger): void {
  if (winston.readableLength === 0 && winston.writableLength === 0) {
    winston.end();
    return;
  }
  setImmediate(() => {
    endOnceWritten(winston);
  });
}

function createTransport(options: LoggerOptions) {
  if (options.stream !== undefined) {
    return new transports.Stream({ stream: options.stream });
  }
  if (options.file !== undefined) {
    return new transports.File({ filename: options.file });
  }
  if (options.standardOutput === true) {
    return new transports.Stream({
      stream: createBoundedOutput(process.stdout, options.timers),
    });
  }
  return new transports.Stream({ stream: process.stderr });
}

function createFormat(options: LoggerOptions) {
  switch (options.format ?? defaultFormat(options)) {
    case LogFormat.Json:
      return format.printf(({ at, level, process: name, message, fields }) =>
        JSON.stringify({
          at,
          level,
          process: name,
          message,
          ...asFields(fields),
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
          [at, level, name, message, formatFields(asFields(fields))]
            .filter(part => part !== '')
            .join(' '),
        ),
      );
  }
}

function defaultFormat(options: LoggerOptions): LogFormat {
  const toTerminal =
    options.file === undefined &&
    options.stream === undefined &&
    process.stderr.isTTY;
  return toTerminal ? LogFormat.Readable : LogFormat.Json;
}

function asFields(fields: unknown): LogFields {
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
