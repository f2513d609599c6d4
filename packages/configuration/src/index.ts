/** Configuration state, operator intents, plans and confirmation. */
export * from './ports/configuration-feed.js';
