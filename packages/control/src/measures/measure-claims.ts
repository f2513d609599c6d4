/** Measures claim throughput and latency for a given number of claims in flight. */
import { createDistributionRecorder } from '@cranberryturn/metrics';
import { ClaimOutcomeKind, type Milliseconds } from '@cranberryturn/types';
import { ControlMethod } from '@cranberryturn/wire';

import { OperationKind, OperationOutcomeKind } from '../control-operations.js';
import {
  type MeasuredControl,
  startMeasuredControl,
} from './start-measured-control.js';

/** Throughput and latency for one number of claims in flight. */
export interface ClaimsReading {
  readonly inFlight: number;
  readonly syncDelayMilliseconds: Milliseconds;
  readonly claims: number;
  readonly claimsPerSecond: number;
  readonly p50Milliseconds: Milliseconds;
  readonly p99Milliseconds: Milliseconds;
  /** Claims per log entry. */
  readonly claimsPerEntry: number;
}

/**
 * Keeps `inFlight` claims in flight for `duration`. Every claim is synced to a log file in
 * `folder`.
 */
export async function measureClaims(options: {
  readonly folder: string;
  readonly inFlight: number;
  readonly syncDelay: Milliseconds;
  readonly duration: Milliseconds;
}): Promise<ClaimsReading> {
  const control = await startMeasuredControl(options);
  const { timers, node } = control;
  const latencies = createDistributionRecorder(timers);
  const firstIndex = node.log.status().lastIndex;
  const startedAt = timers.now();
  const endsAt = startedAt + options.duration;
  let claims = 0;
  const run = async (): Promise<void> => {
    while (timers.now() < endsAt) {
      const sentAt = timers.now();
      await claimJob(control, (claims += 1));
      latencies.record(timers.now() - sentAt);
    }
  };
  await Promise.all(Array.from({ length: options.inFlight }, run));
  const seconds = (timers.now() - startedAt) / 1_000;
  const entries = node.log.status().lastIndex - firstIndex;
  const { count, p50, p99 } = latencies.summarize();
  await control.stop();
  return {
    inFlight: options.inFlight,
    syncDelayMilliseconds: options.syncDelay,
    claims: count,
    claimsPerSecond: count / seconds,
    p50Milliseconds: p50,
    p99Milliseconds: p99,
    claimsPerEntry: count / entries,
  };
}

async function claimJob(
  { node }: MeasuredControl,
  number: number,
): Promise<void> {
  const jobId = `job-${String(number)}`;
  const claimed = await node.proposer.submit({
    kind: OperationKind.Call,
    call: {
      method: ControlMethod.Claim,
      claim: {
        team: 'bench',
        jobId,
        service: 'register-svc',
        digest: '0123456789abcdef',
        owner: { dispatcherId: 'd1', incarnation: 'run-1' },
        submissionId: jobId,
      },
    },
  });
  if (claimed.isErr()) throw claimed.error;
  const outcome = claimed.value;
  const isGranted =
    outcome.kind === OperationOutcomeKind.Claim &&
    outcome.outcome.kind === ClaimOutcomeKind.Granted;
  if (!isGranted)
    throw new Error('A claim of the measurement was not granted.');
}
