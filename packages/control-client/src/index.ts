/** The client with which dispatchers reach control: claims, roster and configuration. */
export * from './create-control-client.js';
export * from './watch-events.js';
export type { EvacuationFeed, PublicationFeed } from './latest-state.js';
