/** Schema of the settings file of `cranberry-dispatcher`. */
import * as z from 'zod';

import {
  advertisedListenAddressSchema,
  controlPeerSchema,
  heartbeatSchema,
  heldBytesSchema,
  listenAddressSchema,
  logSchema,
  nameSchema,
  pathSchema,
  requestsPerConnectionSchema,
  retentionSchema,
  seedSchema,
  stopSchema,
  teamsSchema,
  createUniqueArraySchema,
} from './shared.js';

const bytesPerMebibyte = 1_048_576;
const maximumControlHosts = 7;

/** Limits of the HTTP interface for callers. */
export const callerLimitsSchema = z
  .strictObject({
    /** Maximum size of a request body. */
    bodyBytes: z
      .int()
      .min(1_024)
      .max(256 * bytesPerMebibyte)
      .default(8 * bytesPerMebibyte),
    /** Timeout for receiving a request body. */
    bodyTimeoutMilliseconds: z.int().min(100).max(600_000).default(10_000),
    /** Maximum number of concurrent connections of callers. */
    callersConnections: z.int().min(1).max(100_000).default(4_096),
    /** Requests of one connection that may wait for their responses at the same time. */
    requestsPerConnection: requestsPerConnectionSchema,
    /** Maximum total size of arriving and admitted bodies, unread responses and kept answers in memory. */
    heldBytes: heldBytesSchema.default(256 * bytesPerMebibyte),
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
    /** Listening address of the HTTP interface for callers, health checks and metrics. */
    callers: listenAddressSchema,
    /** Listening address for sidecars and other dispatchers. */
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
    /** Number of targets per service to keep sessions with; all when absent. Must be equal at all dispatchers. */
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

/** Validated settings of a dispatcher, with defaults filled in. */
export type DispatcherSettings = z.output<typeof dispatcherSettingsSchema>;
