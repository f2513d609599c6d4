/** Port to the configuration that applies in a process. */
import type { ClusterConfiguration } from '@cranberryturn/types';

/** The configuration that applies in this process. Versions never decrease. */
export interface ConfigurationFeed {
  current(): ClusterConfiguration;
  /** Calls the listener with each later version. Returns a function that unsubscribes. */
  subscribe(
    listener: (configuration: ClusterConfiguration) => void,
  ): () => void;
}
