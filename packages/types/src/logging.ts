/** Log levels and formats of the settings. */

/** Severity of a log line, from most to least severe. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug',
}

/** Format of log lines. */
export enum LogFormat {
  /** One JSON object per line. */
  Json = 'json',
  /** Coloured text for terminals. */
  Readable = 'readable',
}
