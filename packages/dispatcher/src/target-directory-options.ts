/** What the directory of targets is built from. */
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

/** What a directory is built from. */
export interface TargetDirectoryOptions {
  readonly timers: TimerService;
  readonly times: SessionTimes;
  readonly control: ControlPort;
  readonly metrics: Metrics;
  readonly logger?: Logger | undefined;
  /** Tells the sessions that a registered target should have; undefined: as they are. */
  readonly describeSessions: (
    announcement: TargetAnnouncement,
  ) => ApplySessionsMessage | undefined;
  /** Asks a run without a session here to open one. */
  readonly inviteTarget: (
    target: TargetIdentity,
    timeoutMilliseconds: number,
  ) => void;
  /** Hears each result before the scheduler does. */
  readonly handleResult: (result: AttemptResult) => void;
}
