/** Readings of the resources that a process uses. */
import type { Milliseconds } from '@cranberryturn/types';

/** Unit of work to which processor time, messages and bytes relate. */
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

/** Current memory and cumulative processor time and traffic of a process. */
export interface ProcessReading extends TrafficCount {
  readonly at: Milliseconds;
  readonly residentMebibytes: number;
  /** Heap and external buffers after a garbage collection. */
  readonly heapMebibytes: number;
  readonly processorMilliseconds: Milliseconds;
}

/** Cost of one process at one size: memory at the end, and the rest for each unit of work. */
export interface SizeReading {
  readonly size: number;
  readonly residentMebibytes: number;
  readonly heapMebibytes: number;
  /** Processor time for each unit of work, user and system. */
  readonly processorMilliseconds: Milliseconds;
  readonly messages: number;
  readonly bytes: number;
}

/** Quantities of a reading to which a line is fitted. */
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

/** Reads the resources of this process, after a garbage collection if Node.js runs with `--expose-gc`. */
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

/** Divides the use between two readings by the units of work done. */
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
