/** Reads and validates settings files in JSON with comments. */
export * from './parse-settings-text.js';
export * from './read-settings-file.js';
export * from './schemas/command-line-settings.js';
export * from './schemas/control-settings.js';
export * from './schemas/dispatcher-settings.js';
export * from './schemas/initial-configuration.js';
export * from './schemas/local-settings.js';
export type { LogSettings } from './schemas/shared.js';
export * from './schemas/sidecar-settings.js';
export * from './settings-error.js';
