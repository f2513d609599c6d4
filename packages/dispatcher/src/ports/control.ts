/** What a dispatcher needs of control. */
import type { ClaimStore } from '@cranberryturn/claims';
import type { ConfigurationFeed } from '@cranberryturn/configuration';
import type { RosterFeed, RosterStore } from '@cranberryturn/membership';

/** Control, as one dispatcher reaches it. */
export interface ControlPort {
  readonly claims: ClaimStore;
  readonly configuration: ConfigurationFeed;
  readonly roster: RosterFeed;
  readonly registry: RosterStore;
  /** True while a leader of control with a majority is proved; left out where nothing can be cut off. */
  isFresh?(): boolean;
}
