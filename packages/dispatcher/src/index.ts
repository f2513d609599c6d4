/** The dispatcher: answers callers, claims, places, collects. */
export * from './dispatcher-options.js';
export * from './maintain-registration.js';
export * from './ports/control.js';
export * from './start-dispatcher.js';
export * from './start-dispatcher-role.js';
export * from './submission-result.js';
