import type { ClusterConfiguration } from '@cranberryturn/types';

/** The configuration that is in force in this process. Versions never go back. */
export interface ConfigurationFeed {
  current(): ClusterConfiguration;
  /** Calls the listener with each later version. Returns a function that ends this. */
  subscribe(
    listener: (configuration: ClusterConfiguration) => void,
  ): () => void;
}
