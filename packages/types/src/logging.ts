/** Severity of a log line, most severe first. */
export enum LogLevel {
  Error = 'error',
  Warn = 'warn',
  Info = 'info',
  Debug = 'debug',
}

/** How log lines are written. */
export enum LogFormat {
  /** One JSON object a line. */
  Json = 'json',
  /** Coloured text for a person at a terminal. */
  Readable = 'readable',
}
