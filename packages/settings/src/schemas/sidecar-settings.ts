/** Settings of `cranberry-sidecar`. */
import { z } from 'zod';

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

const platformSchema = z.strictObject({ url: urlSchema });

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
  queuedTasks: z.int().min(0).max(4_096).default(1),
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
