/** The dispatchers that a sidecar has sessions with, and what it reports to them. */
import type {
  AttemptResult,
  ConfigurationVersion,
  DispatcherId,
  TargetAnnouncement,
  TargetLoad,
} from '@cranberryturn/types';
import { FromTargetKind, type FromTargetMessage } from '@cranberryturn/wire';

import type { UsagePoller } from './poll-usage.js';

/** One session with a dispatcher, as its reports see it. */
export interface ServedDispatcher {
  readonly dispatcherId: DispatcherId;
  readonly send: (message: FromTargetMessage) => void;
  /** Whether tasks wait there for a free slot here. */
  isAwaitingLoad: boolean;
  /** Whether the session is being left, so that it takes no new work. */
  isLeaving: boolean;
  /** Reading of the usage that was reported last. */
  reportedUsageReading: number;
}

/** What the reports are made from. */
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

  /** Announces the target over a new session. */
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

  /** Reports the load under settings that were just applied. */
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

  tellAll(message: FromTargetMessage): void {
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

  /** Tells a free slot to the dispatchers whose tasks wait, once each. */
  reportFreeSlot(): void {
    const { freeSlots, queuedTasks } = this.#options.load();
    if (freeSlots <= queuedTasks) return;
    for (const served of this.#served.values()) {
      if (!served.isAwaitingLoad) continue;
      served.isAwaitingLoad = false;
      this.reportLoad(served);
    }
  }

  /** Each reading of the usage is reported to a dispatcher once. */
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
