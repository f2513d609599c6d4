import { StorageError } from '@cranberryturn/errors';
import { createMetrics, Gauge } from '@cranberryturn/metrics';
import { type LogStatus, ReplicaRole } from '@cranberryturn/replicated-log';
import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import { registerReplicaMetrics } from './register-replica-metrics.js';

// A replica that had stopped was not told from one that works.
test('the gauges tell a replica that works from one that recovers and one that has failed', t => {
  const working: LogStatus = {
    replicaId: 'c1',
    role: ReplicaRole.Follower,
    term: 1,
    commitIndex: 1,
    appliedIndex: 1,
    lastIndex: 1,
    snapshotIndex: 0,
    members: [],
  };
  const failure = new StorageError('no space', { step: 'append to file' });
  let status = working;
  const metrics = createMetrics({
    role: 'control',
    process: 'c1',
    timers: createManualTimerService(),
  });
  registerReplicaMetrics(metrics, () => status);
  const read = () =>
    [Gauge.ReplicaFailed, Gauge.ReplicaRecoveryAttempts].map(
      name => metrics.read().gauges.find(({ gauge }) => gauge === name)?.value,
    );
  t.deepEqual(read(), [0, 0]);
  status = { ...working, failure, recoveryAttempts: 3 };
  t.deepEqual(read(), [0, 3]);
  status = { ...working, failure };
  t.deepEqual(read(), [1, 0]);
});
