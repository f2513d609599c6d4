/** Schema of the settings file of `cranberry-control`. */
import * as z from 'zod';

import {
  advertisedListenAddressSchema,
  controlPeerSchema,
  heldBytesSchema,
  listenAddressSchema,
  logSchema,
  nameSchema,
  operatorsSchema,
  pathSchema,
  peerAddressSchema,
  requestsPerConnectionSchema,
  seedSchema,
  stopSchema,
  createUniqueArraySchema,
} from './shared.js';

const bytesPerMebibyte = 1_048_576;
const maximumControlHosts = 7;

const snapshotsSchema = z
  .strictObject({
    /** Number of log entries between two snapshots. */
    everyEntries: z.int().min(16).max(10_000_000).default(10_000),
  })
  .prefault({});

const timingsSchema = z
  .strictObject({
    leaderHeartbeatMilliseconds: z.int().min(10).max(10_000).default(100),
    /** Time without a heartbeat of the leader after which a follower starts an election. */
    electionTimeoutMilliseconds: z.int().min(50).max(60_000).default(600),
  })
  .refine(
    ({ leaderHeartbeatMilliseconds, electionTimeoutMilliseconds }) =>
      electionTimeoutMilliseconds >= 3 * leaderHeartbeatMilliseconds,
    {
      path: ['electionTimeoutMilliseconds'],
      error: 'at least three times leaderHeartbeatMilliseconds',
    },
  )
  .prefault({});

/** Limits of the HTTP interface for operators. */
export const administrationLimitsSchema = z
  .strictObject({
    /** Maximum number of concurrent connections of operators. */
    connections: z.int().min(1).max(100_000).default(1_024),
    requestsPerConnection: requestsPerConnectionSchema,
    /** Maximum total size of requests and of responses that are not read yet. */
    heldBytes: heldBytesSchema.default(64 * bytesPerMebibyte),
  })
  .prefault({});

const peersSchema = z.strictObject({
  /** Listening address for other replicas and dispatchers. */
  listen: advertisedListenAddressSchema,
  /** Founding members of the replica group; later members are learned from the log. */
  members: createUniqueArraySchema(
    controlPeerSchema,
    peer => peer.replicaId,
    'replicaId',
  )
    .max(maximumControlHosts)
    .default([]),
});

/** Automatic formation and repair of the replica group, without an operator. */
const groupSchema = z.strictObject({
  /** Addresses at which a replica looks for members of the group. */
  seeds: z.array(peerAddressSchema).min(1),
  /** Minimum number of voters; the group never shrinks below it automatically. */
  minimumVoters: z.int().min(1).max(maximumControlHosts).default(3),
  /** Whole data centres that may be lost at the same time; voters are spread accordingly. */
  toleratedDataCentres: z.int().min(0).max(maximumControlHosts).default(0),
});

/** Validated limits of the HTTP interface for operators. */
export type AdministrationLimits = z.output<typeof administrationLimitsSchema>;

/** Schema of the settings of a control replica. */
export const controlSettingsSchema = z
  .strictObject({
    /** Identifier of the replica. A replica that was replaced or lost its data needs a new one. */
    replicaId: nameSchema,
    host: nameSchema,
    dataCentre: nameSchema,
    region: nameSchema,
    /** Data centres that operators may evacuate; the same at all replicas. When absent, evacuations are disabled. */
    dataCentres: createUniqueArraySchema(nameSchema, name => name, 'name')
      .min(1)
      .optional(),
    /** When absent, the replica observes: it keeps its copy of the log in memory and never votes. */
    dataFolder: pathSchema.optional(),
    peers: peersSchema,
    /** Whether the replica joins a running group, instead of being one of its founding members. */
    joining: z.boolean().default(false),
    /** When absent, the replicated configuration names the control hosts. */
    group: groupSchema.optional(),
    /** Listening address of the HTTP interface for operators, health checks and metrics. */
    administration: listenAddressSchema,
    operators: operatorsSchema.min(1),
    limits: administrationLimitsSchema,
    /** When absent, every process that reaches the ports is trusted. */
    sharedKeyFile: pathSchema.optional(),
    /** File with the configuration that the first leader of an empty log proposes. */
    initialConfigurationFile: pathSchema.optional(),
    snapshots: snapshotsSchema,
    timings: timingsSchema,
    stop: stopSchema,
    seed: seedSchema,
    log: logSchema,
  })
  .refine(
    ({ replicaId, peers, joining }) =>
      joining || peers.members.some(member => member.replicaId === replicaId),
    {
      path: ['replicaId'],
      error: 'one of peers.members, unless "joining" is true',
    },
  )
  .refine(
    ({ dataFolder, joining, group }) =>
      dataFolder !== undefined || (joining && group !== undefined),
    {
      path: ['dataFolder'],
      error: 'a folder, unless "joining" is true and "group" is set',
    },
  );

/** Validated settings of a control replica, with defaults filled in. */
export type ControlSettings = z.output<typeof controlSettingsSchema>;
