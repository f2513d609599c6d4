/** Port through which a dispatcher uses control. */
import type { ClaimStore } from '@cranberryturn/claims';
import type { ConfigurationFeed } from '@cranberryturn/configuration';
import type { RosterFeed, RosterStore } from '@cranberryturn/membership';

/** Access of one dispatcher to control. */
export interface ControlPort {
  readonly claims: ClaimStore;
  readonly configuration: ConfigurationFeed;
  readonly roster: RosterFeed;
  readonly registry: RosterStore;
  /** Whether control recently proved a leader with a majority; absent where no partition can occur. */
  isFresh?(): boolean;
}
