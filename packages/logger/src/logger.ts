/** Structured log: one line for each event, as JSON or as readable text. */
import type { Writable } from 'node:stream';

import type { TimerService } from '@cranberryturn/timers';
import { type LogFormat, LogLevel } from '@cranberryturn/types';

import { createStandardOutputWriter } from './standard-output-writer.js';
import { createWinstonWriter } from './winston-writer.js';

/** Named values of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Log of one process. Secrets are redacted from messages and fields. */
export interface Logger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
  /** Whether lines of `level` are written. Check this before computing expensive fields. */
  isEnabled(level: LogLevel): boolean;
  /** Creates a logger that adds `fields` to each line, for example a request identifier. */
  child(fields: LogFields): Logger;
  /** Flushes the buffered lines and closes the log; later lines are discarded. */
  close(): Promise<void>;
}

/** Level, format and destination of the log of a process. */
export interface LoggerOptions {
  /** Name of the process, written into each line. */
  readonly process: string;
  readonly timers: TimerService;
  readonly level?: LogLevel | undefined;
  /** When absent: readable text if the standard error output is a terminal, JSON otherwise. */
  readonly format?: LogFormat | undefined;
  /** File to append to, instead of the standard error output. */
  readonly file?: string | undefined;
  /** Whether lines go to the standard output, as JSON through a bounded buffer. Overrides `file` and `stream`. */
  readonly standardOutput?: boolean | undefined;
  /** Receives the lines instead of a file or the standard error output; for tests. */
  readonly stream?: Writable | undefined;
}

/** Destination of the lines of a logger. */
export interface LineWriter {
  readonly level: LogLevel;
  write(level: LogLevel, message: string, fields: LogFields): void;
  close(): Promise<void>;
}

/** Numeric severity of each level; lower is more severe. */
export const severityByLevel: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warn]: 1,
  [LogLevel.Info]: 2,
  [LogLevel.Debug]: 3,
};

/** Opens the log of a process. */
export function createLogger(options: LoggerOptions): Logger {
  const writer =
    options.standardOutput === true
      ? createStandardOutputWriter(options, process.stdout)
      : createWinstonWriter(options);
  return wrapWriter(writer, {});
}

/** Creates a logger that discards all lines, for tests. */
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

function wrapWriter(writer: LineWriter, inheritedFields: LogFields): Logger {
  const isEnabled = (level: LogLevel): boolean =>
    severityByLevel[level] <= severityByLevel[writer.level];
  const createLogMethod =
    (level: LogLevel) =>
    (message: string, fields?: LogFields): void => {
      if (!isEnabled(level)) return;
      writer.write(level, message, { ...inheritedFields, ...fields });
    };
  return {
    error: createLogMethod(LogLevel.Error),
    warn: createLogMethod(LogLevel.Warn),
    info: createLogMethod(LogLevel.Info),
    debug: createLogMethod(LogLevel.Debug),
    isEnabled,
    child: fields => wrapWriter(writer, { ...inheritedFields, ...fields }),
    close: () => writer.close(),
  };
}
