/** Counters, gauges and distributions of one process, collected only when they are read. */
import type { TimerService } from '@cranberryturn/timers';

import {
  createDistributionRecorder,
  type DistributionRecorder,
  type DistributionSummary,
} from './distribution-recorder.js';
import {
  Counter,
  type Distribution,
  type Gauge,
  WastedMessage,
} from './names.js';
import { QueueMetrics, type QueueReading } from './queue-metrics.js';

/** Number and total size of the messages sent to processes of one role. */
export interface MessageCount {
  readonly receiver: string;
  readonly messages: number;
  readonly bytes: number;
}

/** Summary of one quantity for one service; `service` is empty for a quantity without services. */
export interface DistributionReading extends DistributionSummary {
  readonly distribution: Distribution;
  readonly service: string;
}

/** Values of all metrics at one time. */
export interface MetricsReading {
  readonly role: string;
  readonly process: string;
  readonly counters: Readonly<Record<Counter, number>>;
  readonly wasted: Readonly<Record<WastedMessage, number>>;
  readonly messages: readonly MessageCount[];
  readonly gauges: readonly { readonly gauge: Gauge; readonly value: number }[];
  readonly distributions: readonly DistributionReading[];
  /** Counts and values by queue; absent while none was recorded. */
  readonly queues?: readonly QueueReading[];
}

/** Metrics of one process. */
export interface Metrics {
  count(counter: Counter, amount?: number): void;
  countWasted(kind: WastedMessage, amount?: number): void;
  /** Registers a count that is kept elsewhere and added to `kind`; it is read with the metrics. */
  registerWastedCount(kind: WastedMessage, readCount: () => number): void;
  /** Counts one message sent to a process of the role `receiver`. */
  countMessage(receiver: string, bytes: number): void;
  /** Records one value of a quantity, optionally for one service. */
  record(distribution: Distribution, value: number, service?: string): void;
  /** Registers the source of a gauge, which is read with the metrics. Replaces an earlier source. */
  registerGauge(gauge: Gauge, readValue: () => number): void;
  /** Counters and values by queue. */
  readonly queues: QueueMetrics;
  read(): MetricsReading;
  /** Formats the metrics in the text format of Prometheus, for `GET /metrics`. */
  expose(): Promise<string>;
}

/** Media type of the text that `expose` returns. */
export const metricsContentType = 'text/plain; version=0.0.4; charset=utf-8';

interface MutableMessageCount {
  readonly receiver: string;
  messages: number;
  bytes: number;
}

interface WastedCountSource {
  readonly kind: WastedMessage;
  readonly readCount: () => number;
}

interface DistributionEntry {
  readonly distribution: Distribution;
  readonly service: string;
  readonly recorder: DistributionRecorder;
}

/** Creates metrics with all counters at zero. */
export function createMetrics(options: {
  readonly role: string;
  /** Name of the process, exposed as the label `process`. */
  readonly process: string;
  readonly timers: TimerService;
}): Metrics {
  const counters = createZeroCounts(Object.values(Counter));
  const wasted = createZeroCounts(Object.values(WastedMessage));
  const gauges = new Map<Gauge, () => number>();
  const wastedCountSources: WastedCountSource[] = [];
  const messages = new Map<string, MutableMessageCount>();
  const distributions = new Map<string, DistributionEntry>();

  const queues = new QueueMetrics();

  const addDistribution = (distribution: Distribution, service: string) => {
    const recorder = createDistributionRecorder(options.timers);
    const entry = { distribution, service, recorder };
    distributions.set(`${distribution} ${service}`, entry);
    return entry;
  };

  const readQueues = (): Pick<MetricsReading, 'queues'> => {
    const readings = queues.read();
    return readings.length > 0 ? { queues: readings } : {};
  };

  const read = (): MetricsReading => ({
    role: options.role,
    process: options.process,
    counters: { ...counters },
    wasted: addRegisteredCounts(wasted, wastedCountSources),
    messages: [...messages.values()].map(entry => ({ ...entry })),
    gauges: [...gauges].map(([gauge, readValue]) => ({
      gauge,
      value: readValue(),
    })),
    distributions: [...distributions.values()].map(
      ({ distribution, service, recorder }) => ({
        distribution,
        service,
        ...recorder.summarize(),
      }),
    ),
    ...readQueues(),
  });

  return {
    count: (counter, amount = 1) => {
      counters[counter] += amount;
    },
    countWasted: (kind, amount = 1) => {
      wasted[kind] += amount;
    },
    registerWastedCount: (kind, readCount) => {
      wastedCountSources.push({ kind, readCount });
    },
    countMessage: (receiver, bytes) => {
      const entry =
        messages.get(receiver) ?? addMessageCount(messages, receiver);
      entry.messages += 1;
      entry.bytes += bytes;
    },
    record: (distribution, value, service = '') => {
      const key = `${distribution} ${service}`;
      const entry =
        distributions.get(key) ?? addDistribution(distribution, service);
      entry.recorder.record(value);
    },
    registerGauge: (gauge, readValue) => {
      gauges.set(gauge, readValue);
    },
    queues,
    read,
    expose: async () => {
      // Loaded on the first scrape, because prom-client is large.
      const { exposeMetrics } = await import('./expose-metrics.js');
      return exposeMetrics(read());
    },
  };
}

function createZeroCounts<Name extends string>(
  names: readonly Name[],
): Record<Name, number> {
  return Object.fromEntries(names.map(name => [name, 0])) as Record<
    Name,
    number
  >;
}

function addRegisteredCounts(
  counted: Readonly<Record<WastedMessage, number>>,
  sources: readonly WastedCountSource[],
): Record<WastedMessage, number> {
  const sums = { ...counted };
  for (const { kind, readCount } of sources) sums[kind] += readCount();
  return sums;
}

function addMessageCount(
  messages: Map<string, MutableMessageCount>,
  receiver: string,
): MutableMessageCount {
  const entry = { receiver, messages: 0, bytes: 0 };
  messages.set(receiver, entry);
  return entry;
}
