/** The dispatcher: accepts jobs from callers, claims them, places their tasks and returns the results. */
export * from './dispatcher-options.js';
export * from './maintain-registration.js';
export * from './ports/control.js';
export * from './start-dispatcher.js';
export * from './start-dispatcher-role.js';
export * from './submission-result.js';
