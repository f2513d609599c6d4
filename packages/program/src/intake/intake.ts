/** What the listeners of one process share: the bound on held memory, and reports on callers that exceed limits. */
import { HeldMemory } from '@cranberryturn/held-memory';
import type { Logger } from '@cranberryturn/logger';
import { Counter, Gauge, type Metrics } from '@cranberryturn/metrics';
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

import { BufferPool } from './buffer-pool.js';
import type { IntakeLimits } from './intake-limits.js';

/** One line at most for this time, however many callers are refused. */
const reportMilliseconds: Milliseconds = 1_000;

/** Share of the held memory that is kept after use. */
const pooledShare = 0.25;

/** Why a request was refused, or its connection closed. */
export enum IntakeRefusal {
  /** The body is larger than the limit. */
  BodyTooLarge = 'body-too-large',
  /** The body was incomplete for the longest time when memory was needed. */
  BodyEvicted = 'body-evicted',
  /** Requests in progress hold all memory. */
  NoMemory = 'no-memory',
  /** More requests of one connection waited for responses than allowed. */
  TooManyRequests = 'too-many-requests',
  /** The caller did not read a response in time, or until memory was needed. */
  ResponseUnread = 'response-unread',
  /** The connection had no request in progress for the longest time when another one arrived. */
  ConnectionEvicted = 'connection-evicted',
  /** All connections have requests in progress. */
  NoConnection = 'no-connection',
}

/** Limits and reports of one process. */
export interface Intake {
  readonly limits: IntakeLimits;
  readonly timers: TimerService;
  readonly held: HeldMemory;
  readonly pool: BufferPool;
  report(refusal: IntakeRefusal): void;
}

/** Creates the intake of a process, and registers the gauge of its held memory. */
export function createIntake(options: {
  readonly limits: IntakeLimits;
  readonly timers: TimerService;
  /** Undefined where nothing is logged. */
  readonly logger?: Pick<Logger, 'warn'> | undefined;
  readonly metrics: Pick<Metrics, 'count' | 'registerGauge'>;
}): Intake {
  const { limits, timers, logger, metrics } = options;
  const held = new HeldMemory(limits.heldBytes);
  metrics.registerGauge(Gauge.HeldBytes, () => held.bytes);
  let counts = new Map<IntakeRefusal, number>();
  const logCounts = (): void => {
    logger?.warn('callers refused at the limits of this process', {
      ...Object.fromEntries(counts),
      heldBytes: held.bytes,
      maximumHeldBytes: held.maximumBytes,
    });
    counts = new Map();
  };
  return {
    limits,
    timers,
    held,
    pool: new BufferPool(limits.heldBytes * pooledShare),
    report: refusal => {
      metrics.count(Counter.CallersRefused);
      if (counts.size === 0) timers.after(reportMilliseconds, logCounts);
      counts.set(refusal, (counts.get(refusal) ?? 0) + 1);
    },
  };
}
