/** Measures whether the replica of this process works, recovers from a fault of its disk, or has failed. */
import { Gauge, type Metrics } from '@cranberryturn/metrics';
import {
  hasFailedForGood,
  type LogStatus,
} from '@cranberryturn/replicated-log';

/** Registers the gauges of a replica. */
export function registerReplicaMetrics(
  metrics: Metrics,
  status: () => LogStatus,
): void {
  metrics.registerGauge(Gauge.ReplicaFailed, () =>
    Number(hasFailedForGood(status())),
  );
  metrics.registerGauge(
    Gauge.ReplicaRecoveryAttempts,
    () => status().recoveryAttempts ?? 0,
  );
}
