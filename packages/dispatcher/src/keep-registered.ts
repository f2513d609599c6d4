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
export interface KeepRegisteredOptions {
  readonly self: DispatcherRecord;
  readonly control: ControlPort;
  readonly timers: TimerService;
  readonly logger?: Logger | undefined;
}

/** The registration of this run. */
export interface Registration {
  /** Whether control knows this run, so that jobs are accepted. */
  isDone(): boolean;
  /** Ends the task; the run stays registered. */
  cancel(): void;
}

/** Registers the run, and again each time control took it off the roster while it was silent. */
export function maintainRegistration(
  options: KeepRegisteredOptions,
): Registration {
  const { self, control, timers, logger } = options;
  let registeredAt: LogIndex | undefined;
  let busy = false;
  let cancelled = false;

  const register = async (): Promise<void> => {
    if (busy) return;
    busy = true;
    while (!cancelled) {
      const done = await control.registry.registerDispatcher(self);
      if (done.isOk()) {
        registeredAt = done.value;
        break;
      }
      await sleep(timers, retryMilliseconds);
    }
    busy = false;
    follow(control.roster.current());
  };

  const follow = (roster: Roster): void => {
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

  const unsubscribe = control.roster.subscribe(follow);
  void register();
  return {
    isDone: () => registeredAt !== undefined,
    cancel: () => {
      cancelled = true;
      unsubscribe();
    },
  };
}
