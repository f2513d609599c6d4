/** Configuration state, operator intents, plans and confirmation. */
export * from './administration-views.js';
export * from './apply-configuration-changes.js';
export * from './apply-control-host-intent.js';
export * from './apply-intent.js';
export * from './assemble-change-plan.js';
export * from './configuration-state.js';
export * from './confirm-change.js';
export * from './describe-effect.js';
export * from './effects.js';
export * from './intent-schema.js';
export * from './list-effects.js';
export * from './list-warnings.js';
export * from './predict-target-impact.js';
export * from './plan-identifier.js';
export * from './ports/configuration-feed.js';
