/** Options of the target directory. */
import type { Logger } from '@cranberryturn/logger';
import type { Metrics } from '@cranberryturn/metrics';
import type { SessionTimes } from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import type {
  AttemptResult,
  TargetAnnouncement,
  TargetIdentity,
} from '@cranberryturn/types';

import type { ControlPort } from './ports/control.js';
import type { ApplySessionsMessage } from './session-subsets.js';

/** Dependencies of a target directory. */
export interface TargetDirectoryOptions {
  readonly timers: TimerService;
  readonly times: SessionTimes;
  readonly control: ControlPort;
  readonly metrics: Metrics;
  readonly logger?: Logger | undefined;
  /** Describes the sessions that a registered target should have; undefined leaves them unchanged. */
  readonly describeSessions: (
    announcement: TargetAnnouncement,
  ) => ApplySessionsMessage | undefined;
  /** Invites a run to open a session with this dispatcher. */
  readonly inviteTarget: (
    target: TargetIdentity,
    timeoutMilliseconds: number,
  ) => void;
  /** Called with each attempt result before the scheduler. */
  readonly handleResult: (result: AttemptResult) => void;
}
