/**
 * Measures the cost of claims: memory, processor time, and how long a snapshot and a restore block
 * the replica.
 */
import { defaultClaimRetention } from '@cranberryturn/claims';
import { defaultRosterRetention } from '@cranberryturn/membership';
import type { Milliseconds } from '@cranberryturn/types';
import { ControlMethod } from '@cranberryturn/wire';

import { encodeOperations, OperationKind } from '../control-operations.js';
import { createControlState } from '../control-state.js';

const claimsPerEntry = 20;
const jobNumberDigits = 12;
const microsecondsPerMillisecond = 1_000;
const millisecondsPerSecond = 1_000;

/** Cost of a claim table of one size. */
export interface ClaimTableReading {
  readonly claims: number;
  /** Heap and buffer memory per claim. */
  readonly bytesPerClaim: number;
  /** Claims applied per second of processor time. */
  readonly claimsPerSecond: number;
  readonly snapshotMilliseconds: Milliseconds;
  readonly snapshotBytes: number;
  readonly restoreMilliseconds: Milliseconds;
}

/**
 * Applies `claims` claims, half of them finished, then takes and restores a snapshot. Needs
 * `--expose-gc` for exact memory figures.
 */
export function measureClaimTable(claims: number): ClaimTableReading {
  const retention = {
    claims: { ...defaultClaimRetention, maximumClaims: claims },
    roster: defaultRosterRetention,
  };
  const state = createControlState(retention);
  const memoryBefore = readMemory();
  const applied = measureProcessorTime(() => {
    for (let first = 0; first < claims; first += claimsPerEntry) {
      applyEntry(state, first, Math.min(claimsPerEntry, claims - first));
    }
  });
  const memory = readMemory() - memoryBefore;
  let bytes: Uint8Array = new Uint8Array();
  const snapshotTime = measureProcessorTime(() => {
    bytes = state.snapshot();
  });
  const restoredState = createControlState(retention);
  const restoreTime = measureProcessorTime(() => {
    restoredState.restore(bytes, claims);
  });
  return {
    claims:
      restoredState.claims.unfinished.size + restoredState.claims.finished.size,
    bytesPerClaim: Math.round(memory / claims),
    claimsPerSecond: Math.round((claims / applied) * millisecondsPerSecond),
    snapshotMilliseconds: Math.round(snapshotTime),
    snapshotBytes: bytes.length,
    restoreMilliseconds: Math.round(restoreTime),
  };
}

function applyEntry(
  state: ReturnType<typeof createControlState>,
  first: number,
  count: number,
): void {
  const jobs = Array.from({ length: count }, (_, offset) => first + offset);
  const entry = { index: first + 1, term: 1, leaderTime: first };
  state.apply({
    ...entry,
    leaderTime: 0,
    command: encodeOperations(jobs.map(job => composeClaim(job))),
  });
  const finished = jobs
    .filter(job => job % 2 === 0)
    .map(job => ({ team: 'wards', jobId: composeJobId(job), epoch: 1 }));
  state.apply({
    ...entry,
    leaderTime: 0,
    command: encodeOperations([
      {
        kind: OperationKind.Call,
        call: { method: ControlMethod.FinishClaims, finished },
      },
    ]),
  });
}

function composeClaim(job: number) {
  return {
    kind: OperationKind.Call as const,
    call: {
      method: ControlMethod.Claim as const,
      claim: {
        team: 'wards',
        jobId: composeJobId(job),
        service: 'register-svc',
        digest: String(job).padStart(64, '0'),
        owner: {
          dispatcherId: `dispatcher-${String(job % 20)}`,
          incarnation: '00000000-0000-4000-8000-000000000001',
        },
        submissionId: composeJobId(job),
      },
    },
  };
}

function composeJobId(job: number): string {
  return `00000000-0000-4000-8000-${String(job).padStart(jobNumberDigits, '0')}`;
}

function measureProcessorTime(work: () => void): Milliseconds {
  const before = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / microsecondsPerMillisecond;
}

function readMemory(): number {
  globalThis.gc?.();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}
