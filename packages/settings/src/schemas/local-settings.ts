/** Schema of the settings file of `cranberry-local`, which runs every role in one process. */
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
  /** Range of the run time of tasks at the simulated targets. */
  runTime: runTimeSchema,
});

/** Schema of the settings of `cranberry-local`. */
export const localSettingsSchema = z.strictObject({
  region: nameSchema.default('local'),
  /** IP address of every listener that has no address of its own in these settings. */
  address: ipAddressSchema.default('127.0.0.1'),
  /** Folder of the replicated log; a temporary folder when absent. */
  dataFolder: pathSchema.optional(),
  seed: z.int().min(0).default(1),
  controlReplicas: z.int().min(1).max(7).default(1),
  /** Listening addresses of the HTTP interface for callers, one for each dispatcher. */
  dispatchers: z
    .array(listenAddressSchema)
    .min(1)
    .max(64)
    .default([
      { address: '127.0.0.1', port: 0 },
      { address: '127.0.0.1', port: 0 },
    ]),
  /** Limits of the HTTP interface for callers, for each dispatcher. */
  limits: callerLimitsSchema,
  /** Listening address of the HTTP interface for operators. */
  administration: listenAddressSchema.default({
    address: '127.0.0.1',
    port: 0,
  }),
  services: createUniqueArraySchema(
    serviceSchema,
    entry => entry.service,
    'service',
  ).min(1),
  /** When teams or operators are absent, tokens are created and printed at start. */
  teams: teamsSchema.default([]),
  operators: operatorsSchema.default([]),
  log: logSchema,
});

/** Validated settings of `cranberry-local`, with defaults filled in. */
export type LocalSettings = z.output<typeof localSettingsSchema>;
