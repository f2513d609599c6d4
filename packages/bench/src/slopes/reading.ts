/** What is measured of one process at one size. */
import type { Milliseconds } from '@cranberryturn/types';

/** The unit of work that processor time, messages and bytes are given for. */
export enum WorkUnit {
  Second = 'second',
  Job = 'job',
  Task = 'task',
  Claim = 'claim',
  Change = 'change',
  Registration = 'registration',
}

/** Frames and bytes that a process sent and received. */
export interface TrafficCount {
  readonly messages: number;
  readonly bytes: number;
}

/** Resources a process has used so far. */
export interface ProcessReading extends TrafficCount {
  readonly at: Milliseconds;
  readonly residentMebibytes: number;
  /** Heap and buffers after a collection. */
  readonly heapMebibytes: number;
  readonly processorMilliseconds: Milliseconds;
}

/** What is measured of one process at one size. */
export interface SizeReading {
  readonly size: number;
  readonly residentMebibytes: number;
  readonly heapMebibytes: number;
  /** Processor time for each unit of work. */
  readonly processorMilliseconds: Milliseconds;
  readonly messages: number;
  readonly bytes: number;
}

/** The quantities of a reading that a line is fitted to. */
export const measuredQuantities = [
  'residentMebibytes',
  'heapMebibytes',
  'processorMilliseconds',
  'messages',
  'bytes',
] as const;

/** One quantity of a reading. */
export type MeasuredQuantity = (typeof measuredQuantities)[number];

const bytesPerMebibyte = 1_048_576;
const microsecondsPerMillisecond = 1_000;

/** Reads the resources of this process, after a collection where the process allows one. */
export function readProcess(
  at: Milliseconds,
  traffic: TrafficCount,
): ProcessReading {
  globalThis.gc?.();
  const memory = process.memoryUsage();
  const { user, system } = process.cpuUsage();
  return {
    ...traffic,
    at,
    residentMebibytes: memory.rss / bytesPerMebibyte,
    heapMebibytes: (memory.heapUsed + memory.external) / bytesPerMebibyte,
    processorMilliseconds: (user + system) / microsecondsPerMillisecond,
  };
}

/** Relates what was used between two readings to the units of work done. */
export function computeSizeReading(
  size: number,
  before: ProcessReading,
  after: ProcessReading,
  units: number,
): SizeReading {
  return {
    size,
    residentMebibytes: after.residentMebibytes,
    heapMebibytes: after.heapMebibytes,
    processorMilliseconds:
      (after.processorMilliseconds - before.processorMilliseconds) / units,
    messages: (after.messages - before.messages) / units,
    bytes: (after.bytes - before.bytes) / units,
  };
}
