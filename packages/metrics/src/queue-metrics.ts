/** Counters and values by queue, with a bounded number of queues. */

/** Events of jobs that are counted by queue. */
export enum QueueEvent {
  Offered = 'offered',
  Admitted = 'admitted',
  /** Admitted to capacity that no other work uses; such jobs are usually late. */
  LeftOver = 'left_over',
  /** Refused because the job would have ended too late. */
  RefusedTooLate = 'refused_too_late',
  /** Refused because no worker takes tasks. */
  RefusedNoWorker = 'refused_no_worker',
}

/** Latest values by queue. */
export enum QueueValue {
  /** Share of the jobs admitted over the last seconds. */
  AdmittedShare = 'admitted_share',
  /** Smallest share that the queue keeps. */
  FloorShare = 'floor_share',
  /** Age of the oldest load report that the latest decision counted. */
  InputAgeMilliseconds = 'input_age_milliseconds',
}

/** Counts and values of one queue. */
export interface QueueReading {
  readonly queue: string;
  readonly events: Readonly<Partial<Record<QueueEvent, number>>>;
  readonly values: Readonly<Partial<Record<QueueValue, number>>>;
}

/** Further queues are counted together, so that the number of exposed series stays bounded. */
const maximumQueues = 64;
const otherQueues = 'other';

interface QueueEntry {
  readonly events: Partial<Record<QueueEvent, number>>;
  readonly values: Partial<Record<QueueValue, number>>;
}

/** Counters and values by queue. */
export class QueueMetrics {
  readonly #queues = new Map<string, QueueEntry>();

  count(queue: string, event: QueueEvent): void {
    const { events } = this.#findEntry(queue);
    events[event] = (events[event] ?? 0) + 1;
  }

  set(queue: string, value: QueueValue, number: number): void {
    this.#findEntry(queue).values[value] = number;
  }

  read(): readonly QueueReading[] {
    return [...this.#queues].map(([queue, { events, values }]) => ({
      queue,
      events: { ...events },
      values: { ...values },
    }));
  }

  #findEntry(queue: string): QueueEntry {
    const name =
      this.#queues.has(queue) || this.#queues.size < maximumQueues
        ? queue
        : otherQueues;
    const known = this.#queues.get(name);
    if (known !== undefined) return known;
    const entry: QueueEntry = { events: {}, values: {} };
    this.#queues.set(name, entry);
    return entry;
  }
}
