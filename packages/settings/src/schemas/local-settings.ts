/** Settings of `cranberry-local`, which runs every role in one process. */
import * as z from 'zod';

import { callerLimitsSchema } from './dispatcher-settings.js';
import {
  ipAddressSchema,
  listenAddressSchema,
  logSchema,
  nameSchema,
  operatorsSchema,
  pathSchema,
  resourcesSchema,
  teamsSchema,
  createUniqueArraySchema,
} from './shared.js';

const rackSchema = z.strictObject({
  rack: nameSchema,
  dataCentre: nameSchema,
  /** Number of workers in the rack. */
  workers: z.int().min(1).max(64),
});

const runTimeSchema = z
  .strictObject({
    minimumMilliseconds: z.number().min(0).default(50),
    maximumMilliseconds: z.number().min(0).default(250),
  })
  .refine(
    ({ minimumMilliseconds, maximumMilliseconds }) =>
      maximumMilliseconds >= minimumMilliseconds,
    { path: ['maximumMilliseconds'], error: 'at least minimumMilliseconds' },
  )
  .prefault({});

const serviceSchema = z.strictObject({
  service: nameSchema,
  racks: createUniqueArraySchema(rackSchema, entry => entry.rack, 'rack').min(
    1,
  ),
  slots: z.int().min(1).max(4_096).default(8),
  connections: z.int().min(1).max(65_536).default(64),
  resources: resourcesSchema,
  /** Run time of each task on the stand-in targets. */
  runTime: runTimeSchema,
});

/** Schema of the settings of the local program. */
export const localSettingsSchema = z.strictObject({
  region: nameSchema.default('local'),
  /** Address on which every part listens. */
  address: ipAddressSchema.default('127.0.0.1'),
  /** Folder for the replicated log; a temporary one when absent. */
  dataFolder: pathSchema.optional(),
  seed: z.int().min(0).default(1),
  controlReplicas: z.int().min(1).max(7).default(1),
  /** HTTP for callers, one entry for each dispatcher. */
  dispatchers: z
    .array(listenAddressSchema)
    .min(1)
    .max(64)
    .default([
      { address: '127.0.0.1', port: 0 },
      { address: '127.0.0.1', port: 0 },
    ]),
  /** Limits of the HTTP for callers at each dispatcher. */
  limits: callerLimitsSchema,
  /** HTTP for operators. */
  administration: listenAddressSchema.default({
    address: '127.0.0.1',
    port: 0,
  }),
  services: createUniqueArraySchema(
    serviceSchema,
    entry => entry.service,
    'service',
  ).min(1),
  /** Without teams or operators, tokens are created at start and printed. */
  teams: teamsSchema.default([]),
  operators: operatorsSchema.default([]),
  log: logSchema,
});

/** Checked settings of the local program. */
export type LocalSettings = z.output<typeof localSettingsSchema>;
