/** Times of the sessions that carry runs. */
import type { SessionTimes } from '@cranberryturn/sessions';

/** A silent connection is replaced well before the lease of a dispatcher is over. */
export const sidecarSessionTimes: SessionTimes = {
  heartbeatMilliseconds: 450,
  suspicionMilliseconds: 800,
  idleHeartbeatMilliseconds: 2_000,
};
