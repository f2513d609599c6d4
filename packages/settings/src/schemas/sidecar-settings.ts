/** Schema of the settings file of `cranberry-sidecar`. */
import { CancelledTaskTreatment } from '@cranberryturn/types';
import * as z from 'zod';

import {
  heartbeatSchema,
  listenAddressSchema,
  logSchema,
  nameSchema,
  pathSchema,
  peerAddressSchema,
  resourcesSchema,
  retentionSchema,
  seedSchema,
  stopSchema,
  urlSchema,
} from './shared.js';

const targetSchema = z.strictObject({
  url: urlSchema,
  /** Timeout for opening a connection to the target. */
  connectTimeoutMilliseconds: z.int().min(10).max(60_000).default(1_000),
});

const platformSchema = z.strictObject({
  url: urlSchema,
  /** Timeout for a response of the platform. */
  timeoutMilliseconds: z.int().min(10).max(60_000).default(1_000),
  /** Interval at which the resource usage of the worker is read. */
  usageIntervalMilliseconds: z.int().min(100).max(600_000).default(2_000),
  /** Treatment of a task that was cancelled, or superseded by another attempt. */
  cancelledTasks: z
    .enum(CancelledTaskTreatment)
    .default(CancelledTaskTreatment.Stop),
  /** Fraction of one processor that a throttled task may use. */
  throttleShare: z.number().gt(0).max(1).default(0.1),
});

/** Schema of the settings of a sidecar. */
export const sidecarSettingsSchema = z.strictObject({
  targetId: nameSchema,
  host: nameSchema,
  rack: nameSchema,
  dataCentre: nameSchema,
  region: nameSchema,
  service: nameSchema,
  resources: resourcesSchema,
  /** Number of tasks that the target runs concurrently. */
  slots: z.int().min(1).max(4_096),
  /** Maximum number of connections that the target accepts. */
  connections: z.int().min(1).max(65_536).default(64),
  /** Maximum number of tasks queued at the sidecar, to hide the round trip to the dispatcher. */
  queuedTasks: z.int().min(0).max(4_096).default(4),
  target: targetSchema,
  /** Seed dispatchers, dialled at start; the sidecar learns the others from them. */
  dispatchers: z.array(peerAddressSchema).min(1),
  platform: platformSchema.optional(),
  retention: retentionSchema,
  heartbeat: heartbeatSchema,
  stop: stopSchema,
  sharedKeyFile: pathSchema,
  /** Listening address of the HTTP interface for health checks and metrics. */
  operations: listenAddressSchema,
  seed: seedSchema,
  log: logSchema,
});

/** Validated settings of a sidecar, with defaults filled in. */
export type SidecarSettings = z.output<typeof sidecarSettingsSchema>;
