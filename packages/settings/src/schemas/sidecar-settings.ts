/** Settings of `cranberry-sidecar`. */
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
  /** Longest time to open a connection to the target. */
  connectTimeoutMilliseconds: z.int().min(10).max(60_000).default(1_000),
});

const platformSchema = z.strictObject({
  url: urlSchema,
  /** Longest wait for an answer of the platform. */
  timeoutMilliseconds: z.int().min(10).max(60_000).default(1_000),
  /** Time between two readings of the usage of the worker. */
  usageIntervalMilliseconds: z.int().min(100).max(600_000).default(2_000),
  /** What the platform does with a task that was cancelled or overtaken. */
  cancelledTasks: z
    .enum(CancelledTaskTreatment)
    .default(CancelledTaskTreatment.Stop),
  /** Part of a processor that a throttled task may use. */
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
  /** Number of tasks the target runs at the same time. */
  slots: z.int().min(1).max(4_096),
  /** Number of connections the target accepts. */
  connections: z.int().min(1).max(65_536).default(64),
  /** Tasks that may wait here for a slot, to hide the round trip to the dispatcher. */
  queuedTasks: z.int().min(0).max(4_096).default(4),
  target: targetSchema,
  /** Dispatchers to dial first; the others are learned from them. */
  dispatchers: z.array(peerAddressSchema).min(1),
  platform: platformSchema.optional(),
  retention: retentionSchema,
  heartbeat: heartbeatSchema,
  stop: stopSchema,
  sharedKeyFile: pathSchema,
  /** HTTP for health checks and metrics. */
  operations: listenAddressSchema,
  seed: seedSchema,
  log: logSchema,
});

/** Checked settings of a sidecar. */
export type SidecarSettings = z.output<typeof sidecarSettingsSchema>;
