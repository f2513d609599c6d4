/** Structured logs: one line for each event, as JSON or as text for a terminal. */
import type { Writable } from 'node:stream';

import type { TimerService } from '@cranberryturn/timers';
import { type LogFormat, LogLevel } from '@cranberryturn/types';

import { createStandardOutputWriter } from './standard-output-writer.js';
import { createWinstonWriter } from './winston-writer.js';

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

/** Writes the lines of a logger. */
export interface LineWriter {
  readonly level: LogLevel;
  write(level: LogLevel, message: string, fields: LogFields): void;
  close(): Promise<void>;
}

/** Levels in order; lower is more severe. */
export const severityByLevel: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warn]: 1,
  [LogLevel.Info]: 2,
  [LogLevel.Debug]: 3,
};

/** Creates the logger of a process. */
export function createLogger(options: LoggerOptions): Logger {
  const writer =
    options.standardOutput === true
      ? createStandardOutputWriter(options, process.stdout)
      : createWinstonWriter(options);
  return wrapWriter(writer, {});
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
