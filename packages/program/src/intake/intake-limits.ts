/** Limits on what callers can make one process hold. */
import type { Milliseconds } from '@cranberryturn/types';

const bytesPerKibibyte = 1_024;
const bytesPerMebibyte = 1_048_576;

/** Limits of one process, for all its listeners together. */
export interface IntakeLimits {
  /** Bound for bodies that arrive, requests in progress and responses that are not sent yet. */
  readonly heldBytes: number;
  /** Requests of one connection that may wait for their responses at the same time; one more closes it. */
  readonly requestsPerConnection: number;
  /** Time for a caller to read a response; then its connection is closed. */
  readonly responseTimeoutMilliseconds: Milliseconds;
}

/** Limits of a listener for callers and of its process. */
export interface DerivedLimits extends IntakeLimits {
  readonly connections: number;
}

export const defaultRequestsPerConnection = 64;
export const defaultResponseTimeout: Milliseconds = 30_000;

/** Resident memory of a process without load (100 MiB), and what the garbage collector leaves for a while. */
const processBytes = 140 * bytesPerMebibyte;
/** Of the rest, a share each for held memory and for connections; the remainder is for work and garbage. */
const share = 0.25;
const minimumHeldBytes = 8 * bytesPerMebibyte;
/** The heap of the programs is limited whatever the machine has. */
const maximumHeldBytes = 64 * bytesPerMebibyte;
/** With an unfinished head of the largest size. */
const bytesPerConnection = 20 * bytesPerKibibyte;
const minimumConnections = 512;
const maximumConnections = 3_000;
/** Descriptors for files, peers, workers and the other listeners. */
const reservedDescriptors = 700;

/** Derives the limits of a process from the memory and the descriptors that its machine gives to it. */
export function deriveIntakeLimits(machine: {
  readonly memoryBytes: number;
  readonly descriptors: number;
}): DerivedLimits {
  const shareBytes = (machine.memoryBytes - processBytes) * share;
  const connections = Math.min(
    maximumConnections,
    Math.max(minimumConnections, Math.floor(shareBytes / bytesPerConnection)),
    machine.descriptors - reservedDescriptors,
  );
  return {
    heldBytes: Math.min(
      maximumHeldBytes,
      Math.max(minimumHeldBytes, Math.floor(shareBytes)),
    ),
    connections: Math.max(1, connections),
    requestsPerConnection: defaultRequestsPerConnection,
    responseTimeoutMilliseconds: defaultResponseTimeout,
  };
}

/** Limits of a process that serves only its operations. */
export const operationsLimits: IntakeLimits = {
  heldBytes: minimumHeldBytes,
  requestsPerConnection: defaultRequestsPerConnection,
  responseTimeoutMilliseconds: defaultResponseTimeout,
};
