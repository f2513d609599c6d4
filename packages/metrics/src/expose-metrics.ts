/** Formats a metrics reading in the text format of Prometheus. */
import {
  Counter as PrometheusCounter,
  Gauge as PrometheusGauge,
  Registry,
} from 'prom-client';

import type { DistributionReading, MetricsReading } from './metrics.js';
import { Distribution } from './names.js';

const metricNamePrefix = 'cranberry_';
const microsecondsPerSecond = 1_000_000;
const quantiles = [
  ['0.5', 'p50'],
  ['0.9', 'p90'],
  ['0.99', 'p99'],
  ['0.999', 'p999'],
  ['1', 'maximum'],
] as const;

/**
 * Formats a reading. Each call uses a registry of its own rather than the global one, so that several
 * roles can run in one process.
 */
export function exposeMetrics(reading: MetricsReading): Promise<string> {
  const registry = new Registry();
  registry.setDefaultLabels({ role: reading.role, process: reading.process });
  addCounters(registry, reading);
  addMessageCounters(registry, reading);
  addGauges(registry, reading);
  addDistributions(registry, reading);
  addQueues(registry, reading);
  addProcessMetrics(registry);
  return registry.metrics();
}

function addCounters(registry: Registry, reading: MetricsReading): void {
  for (const [name, value] of Object.entries(reading.counters)) {
    addCounter(
      registry,
      name,
      `Number of ${formatNameAsWords(name)} since start.`,
    ).inc(value);
  }
  const wasted = addCounter(
    registry,
    'wasted_messages',
    'Messages that did no useful work, by kind.',
    ['kind'],
  );
  for (const [kind, value] of Object.entries(reading.wasted)) {
    wasted.inc({ kind }, value);
  }
}

function addMessageCounters(registry: Registry, reading: MetricsReading): void {
  const labels = ['receiver'];
  const messages = addCounter(
    registry,
    'messages',
    'Messages sent to other processes, by their role.',
    labels,
  );
  const bytes = addCounter(
    registry,
    'message_bytes',
    'Bytes of messages sent to other processes, by their role.',
    labels,
  );
  for (const { receiver, ...counts } of reading.messages) {
    messages.inc({ receiver }, counts.messages);
    bytes.inc({ receiver }, counts.bytes);
  }
}

function addGauges(registry: Registry, reading: MetricsReading): void {
  for (const { gauge, value } of reading.gauges) {
    addGauge(registry, gauge, `Number of ${formatNameAsWords(gauge)} now.`).set(
      value,
    );
  }
}

function addDistributions(registry: Registry, reading: MetricsReading): void {
  for (const distribution of Object.values(Distribution)) {
    const readings = reading.distributions.filter(
      entry => entry.distribution === distribution,
    );
    if (readings.length > 0) addDistribution(registry, distribution, readings);
  }
}

function addDistribution(
  registry: Registry,
  name: Distribution,
  readings: readonly DistributionReading[],
): void {
  const words = formatNameAsWords(name);
  const recentQuantiles = addGauge(
    registry,
    name,
    `Quantiles of ${words} over the last one to two minutes.`,
    ['service', 'quantile'],
  );
  const count = addCounter(
    registry,
    `${name}_count`,
    `Values of ${words} since start.`,
    ['service'],
  );
  const sum = addCounter(
    registry,
    `${name}_sum`,
    `Sum of ${words} since start.`,
    ['service'],
  );
  for (const reading of readings) {
    const { service } = reading;
    count.inc({ service }, reading.count);
    sum.inc({ service }, reading.sum);
    if (reading.recentCount === 0) continue;
    for (const [quantile, field] of quantiles) {
      recentQuantiles.set({ service, quantile }, reading[field]);
    }
  }
}

function addQueues(registry: Registry, { queues = [] }: MetricsReading): void {
  if (queues.length === 0) return;
  const jobs = addCounter(
    registry,
    'queue_jobs',
    'Jobs by queue and by what was decided about them.',
    ['queue', 'event'],
  );
  const values = addGauge(
    registry,
    'queue_admission',
    'Values that the admission of a queue follows from.',
    ['queue', 'value'],
  );
  for (const { queue, events, ...reading } of queues) {
    for (const [event, count] of Object.entries(events)) {
      jobs.inc({ queue, event }, count);
    }
    for (const [value, number] of Object.entries(reading.values)) {
      values.set({ queue, value }, number);
    }
  }
}

function addProcessMetrics(registry: Registry): void {
  addGauge(
    registry,
    'resident_memory_bytes',
    'Resident memory of the process.',
  ).set(process.memoryUsage.rss());
  const { user, system } = process.cpuUsage();
  addCounter(
    registry,
    'processor_seconds',
    'Processor time of the process since start.',
  ).inc((user + system) / microsecondsPerSecond);
}

function addCounter(
  registry: Registry,
  name: string,
  help: string,
  labelNames: string[] = [],
): PrometheusCounter {
  return new PrometheusCounter({
    name: `${metricNamePrefix}${name}_total`,
    help,
    labelNames,
    registers: [registry],
  });
}

function addGauge(
  registry: Registry,
  name: string,
  help: string,
  labelNames: string[] = [],
): PrometheusGauge {
  return new PrometheusGauge({
    name: `${metricNamePrefix}${name}`,
    help,
    labelNames,
    registers: [registry],
  });
}

function formatNameAsWords(name: string): string {
  return name.replaceAll('_', ' ');
}
