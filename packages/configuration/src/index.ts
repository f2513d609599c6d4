/** Configuration state, operator intents, plans and confirmation. */
export {};
