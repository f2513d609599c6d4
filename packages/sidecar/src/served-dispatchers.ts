/** Reports of a sidecar to the dispatchers that it has sessions with. */
import type {
  AttemptResult,
  ConfigurationVersion,
  DispatcherId,
  TargetAnnouncement,
  TargetLoad,
} from '@cranberryturn/types';
import { FromTargetKind, type FromTargetMessage } from '@cranberryturn/wire';

import type { UsagePoller } from './poll-usage.js';

/** Reporting state of the session with one dispatcher. */
export interface ServedDispatcher {
  readonly dispatcherId: DispatcherId;
  readonly send: (message: FromTargetMessage) => void;
  /** Whether the dispatcher has tasks waiting and asked to be notified of the next free slot. */
  isAwaitingLoad: boolean;
  /** Whether the session is being left; its load is reported as draining. */
  isLeaving: boolean;
  /** `readingCount` of the usage reading that was last reported. */
  reportedUsageReading: number;
}

/** Sources of the reports. */
export interface ServedDispatchersOptions {
  readonly announcement: TargetAnnouncement;
  readonly load: () => TargetLoad;
  readonly usage?: UsagePoller | undefined;
}

/** Reports announcements, results and load to dispatchers. */
export class ServedDispatchers {
  readonly #options: ServedDispatchersOptions;
  readonly #served = new Map<DispatcherId, ServedDispatcher>();

  constructor(options: ServedDispatchersOptions) {
    this.#options = options;
  }

  /** Adds a new session and announces the target over it. */
  add(
    dispatcherId: DispatcherId,
    send: (message: FromTargetMessage) => void,
    isLeaving = false,
  ): ServedDispatcher {
    const served: ServedDispatcher = {
      dispatcherId,
      send,
      isAwaitingLoad: false,
      isLeaving,
      reportedUsageReading: 0,
    };
    this.#served.set(dispatcherId, served);
    send({
      kind: FromTargetKind.Announce,
      announcement: this.#options.announcement,
      load: this.#composeLoad(served),
    });
    return served;
  }

  remove(served: ServedDispatcher): void {
    if (this.#served.get(served.dispatcherId) !== served) return;
    this.#served.delete(served.dispatcherId);
  }

  reportLoad(served: ServedDispatcher): void {
    const load = this.#composeLoad(served);
    served.send({ kind: FromTargetKind.LoadReport, load });
  }

  /** Acknowledges applied settings together with the resulting load. */
  confirmSettings(
    served: ServedDispatcher,
    settingsVersion: ConfigurationVersion,
  ): void {
    const load = this.#composeLoad(served);
    served.send({ kind: FromTargetKind.LoadReport, load, settingsVersion });
  }

  reportLoadToAll(): void {
    for (const served of this.#served.values()) this.reportLoad(served);
  }

  broadcast(message: FromTargetMessage): void {
    for (const served of this.#served.values()) served.send(message);
  }

  reportResult(
    result: AttemptResult,
    dispatchers: readonly DispatcherId[],
  ): void {
    for (const dispatcher of dispatchers) {
      const served = this.#served.get(dispatcher);
      if (served === undefined) continue;
      const load = this.#composeLoad(served);
      served.send({ kind: FromTargetKind.AttemptEnded, result, load });
    }
  }

  /**
   * Reports the load once to each dispatcher that asked for it, if a slot is
   * free that no queued attempt takes.
   */
  reportFreeSlot(): void {
    const { freeSlots, queuedTasks } = this.#options.load();
    if (freeSlots <= queuedTasks) return;
    for (const served of this.#served.values()) {
      if (!served.isAwaitingLoad) continue;
      served.isAwaitingLoad = false;
      this.reportLoad(served);
    }
  }

  /** Includes each usage reading in one report per dispatcher. */
  #composeLoad(served: ServedDispatcher): TargetLoad {
    const currentLoad = this.#options.load();
    const load = served.isLeaving
      ? { ...currentLoad, draining: true }
      : currentLoad;
    const { usage } = this.#options;
    if (
      usage === undefined ||
      usage.readingCount() === served.reportedUsageReading
    ) {
      return load;
    }
    served.reportedUsageReading = usage.readingCount();
    return { ...load, usage: usage.latest() };
  }
}
