/** Timing of the sessions between dispatchers and sidecars. */
import type { SessionTimes } from '@cranberryturn/sessions';

/** A silent connection is suspected early enough to be replaced well before the lease of the dispatcher expires. */
export const sidecarSessionTimes: SessionTimes = {
  heartbeatMilliseconds: 450,
  suspicionMilliseconds: 800,
  idleHeartbeatMilliseconds: 2_000,
};
