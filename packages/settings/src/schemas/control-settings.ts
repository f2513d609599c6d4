/** Settings of `cranberry-control`. */
import * as z from 'zod';

import {
  advertisedListenAddressSchema,
  controlPeerSchema,
  listenAddressSchema,
  logSchema,
  nameSchema,
  operatorsSchema,
  pathSchema,
  peerAddressSchema,
  seedSchema,
  stopSchema,
  createUniqueArraySchema,
} from './shared.js';

const maximumControlHosts = 7;

const snapshotsSchema = z
  .strictObject({
    /** Entries of the log between two snapshots. */
    everyEntries: z.int().min(16).max(10_000_000).default(10_000),
  })
  .prefault({});

const timingsSchema = z
  .strictObject({
    leaderHeartbeatMilliseconds: z.int().min(10).max(10_000).default(100),
    /** Silence of the leader after which an election starts. */
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

const peersSchema = z.strictObject({
  /** Connections from other replicas and from dispatchers. */
  listen: advertisedListenAddressSchema,
  /** Replicas of the first quorum; later ones are learned from the log. */
  members: createUniqueArraySchema(
    controlPeerSchema,
    peer => peer.replicaId,
    'replicaId',
  )
    .max(maximumControlHosts)
    .default([]),
});

/** Replicas that form and mend their group without a person. */
const groupSchema = z.strictObject({
  /** Addresses at which members are found. */
  seeds: z.array(peerAddressSchema).min(1),
  /** The group never shrinks below this number of voters by itself. */
  minimumVoters: z.int().min(1).max(maximumControlHosts).default(3),
});

/** Schema of the settings of a control replica. */
export const controlSettingsSchema = z
  .strictObject({
    /** Name of the replica. A replaced or emptied replica takes a new one. */
    replicaId: nameSchema,
    host: nameSchema,
    dataCentre: nameSchema,
    region: nameSchema,
    dataFolder: pathSchema,
    peers: peersSchema,
    /** True for a replica that joins a running quorum and is not among its first members. */
    joining: z.boolean().default(false),
    /** Without it, the configuration names the control hosts. */
    group: groupSchema.optional(),
    /** HTTP for operators, health checks and metrics. */
    administration: listenAddressSchema,
    operators: operatorsSchema.min(1),
    /** Without it, every process that reaches the ports is trusted. */
    sharedKeyFile: pathSchema.optional(),
    /** Configuration that the first leader of an empty log proposes. */
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
  );

/** Checked settings of a control replica. */
export type ControlSettings = z.output<typeof controlSettingsSchema>;
