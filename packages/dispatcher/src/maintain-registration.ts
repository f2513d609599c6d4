/** Keeps this dispatcher run registered at control. */
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

/** Dependencies of the registration. */
export interface MaintainRegistrationOptions {
  readonly self: DispatcherRecord;
  readonly control: ControlPort;
  readonly timers: TimerService;
  readonly logger?: Logger | undefined;
}

/** Handle of a registration. */
export interface DispatcherRegistration {
  /** Whether this run is registered at control, which is required to accept jobs. */
  isRegistered(): boolean;
  /** Stops the retries and the roster subscription; control keeps the registration. */
  cancel(): void;
}

/**
 * Registers the run, with retries, and again whenever control removed the silent run from
 * the roster. A run that was replaced by another one is not registered again.
 */
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
      logger?.warn(
        'control removed this dispatcher from the roster; registering again',
        { ...self },
      );
      void register();
      return;
    }
    logger?.error(
      'another run replaced this dispatcher; not registering again',
      {
        ...self,
        replacement: known.incarnation,
      },
    );
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
