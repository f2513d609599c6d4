/** Keeps this run of the dispatcher registered at control. */
import type { Logger } from '@cranberryturn/logger';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type {
  DispatcherRecord,
  LogIndex,
  Milliseconds,
  Roster,
} from '@cranberryturn/types';

import type { ControlPort } from './ports/control.js';

const retryMilliseconds: Milliseconds = 500;

/** What the task needs. */
export interface MaintainRegistrationOptions {
  readonly self: DispatcherRecord;
  readonly control: ControlPort;
  readonly timers: TimerService;
  readonly logger?: Logger | undefined;
}

/** The registration of this run. */
export interface DispatcherRegistration {
  /** Whether control knows this run, so that jobs are accepted. */
  isRegistered(): boolean;
  /** Ends the task; the run stays registered. */
  cancel(): void;
}

/** Registers the run, and again each time control took it off the roster while it was silent. */
export function maintainRegistration(
  options: MaintainRegistrationOptions,
): DispatcherRegistration {
  const { self, control, timers, logger } = options;
  let registeredAt: LogIndex | undefined;
  let isRegistering = false;
  let isCancelled = false;

  const register = async (): Promise<void> => {
    if (isRegistering) return;
    isRegistering = true;
    while (!isCancelled) {
      const registered = await control.registry.registerDispatcher(self);
      if (registered.isOk()) {
        registeredAt = registered.value;
        break;
      }
      await sleep(timers, retryMilliseconds);
    }
    isRegistering = false;
    checkRoster(control.roster.current());
  };

  const checkRoster = (roster: Roster): void => {
    if (registeredAt === undefined || roster.version < registeredAt) return;
    const known = roster.dispatchers.find(
      one => one.dispatcherId === self.dispatcherId,
    );
    if (known?.incarnation === self.incarnation) return;
    registeredAt = undefined;
    if (known === undefined) {
      logger?.warn('control took this dispatcher off the roster', { ...self });
      void register();
      return;
    }
    logger?.error('another run of this dispatcher replaced it', {
      ...self,
      replacement: known.incarnation,
    });
  };

  const unsubscribe = control.roster.subscribe(checkRoster);
  void register();
  return {
    isRegistered: () => registeredAt !== undefined,
    cancel: () => {
      isCancelled = true;
      unsubscribe();
    },
  };
}
