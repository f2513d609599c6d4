/** Settings of `cranberry-dispatcher`. */
import * as z from 'zod';

import {
  advertisedListenAddressSchema,
  controlPeerSchema,
  heartbeatSchema,
  listenAddressSchema,
  logSchema,
  nameSchema,
  pathSchema,
  retentionSchema,
  seedSchema,
  stopSchema,
  teamsSchema,
  createUniqueArraySchema,
} from './shared.js';

const bytesPerMebibyte = 1_048_576;
const maximumControlHosts = 7;

/** Limits of the HTTP for callers. */
export const callerLimitsSchema = z
  .strictObject({
    /** Largest body of a caller's request. */
    bodyBytes: z
      .int()
      .min(1_024)
      .max(256 * bytesPerMebibyte)
      .default(8 * bytesPerMebibyte),
    /** Longest time for a caller to send its body. */
    bodyTimeoutMilliseconds: z.int().min(100).max(600_000).default(10_000),
    /** Most connections of callers at the same time. */
    callersConnections: z.int().min(1).max(100_000).default(4_096),
    /** Most bytes of admitted bodies and answers held at the same time. */
    heldBytes: z
      .int()
      .min(bytesPerMebibyte)
      .max(16_384 * bytesPerMebibyte)
      .default(256 * bytesPerMebibyte),
  })
  .prefault({});

/** Schema of the settings of a dispatcher. */
export const dispatcherSettingsSchema = z
  .strictObject({
    dispatcherId: nameSchema,
    host: nameSchema,
    rack: nameSchema.optional(),
    dataCentre: nameSchema,
    region: nameSchema,
    /** HTTP for callers, health checks and metrics. */
    callers: listenAddressSchema,
    /** Connections from sidecars and other dispatchers. */
    peers: advertisedListenAddressSchema,
    control: createUniqueArraySchema(
      controlPeerSchema,
      peer => peer.replicaId,
      'replicaId',
    )
      .min(1)
      .max(maximumControlHosts),
    sharedKeyFile: pathSchema,
    teams: teamsSchema.min(1),
    limits: callerLimitsSchema,
    retention: retentionSchema,
    heartbeat: heartbeatSchema,
    stop: stopSchema,
    /** Targets of one service to have sessions with; all when absent. The same at each dispatcher. */
    targetsPerService: z.int().min(1).optional(),
    seed: seedSchema,
    log: logSchema,
  })
  .refine(
    ({ limits, retention }) =>
      limits.heldBytes >= limits.bodyBytes + retention.answersBytes,
    {
      path: ['limits', 'heldBytes'],
      error: 'at least limits.bodyBytes and retention.answersBytes together',
    },
  );

/** Checked settings of a dispatcher. */
export type DispatcherSettings = z.output<typeof dispatcherSettingsSchema>;
