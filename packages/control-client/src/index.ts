/** What dispatchers use to reach control: claims, roster and the configuration in force. */
export * from './create-control-client.js';
export type { PublicationFeed } from './latest-state.js';
