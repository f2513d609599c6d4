/** Schema of the configuration that the first leader of an empty log proposes. */
import * as z from 'zod';

import { nameSchema, createUniqueArraySchema } from './shared.js';

const millisecondsPerHour = 3_600_000;

const startsPerSecondSchema = z.number().positive().optional();

const serviceSchema = z.strictObject({
  service: nameSchema,
  concurrencyLimit: z.int().min(1).optional(),
  startsPerSecondLimit: startsPerSecondSchema,
  queueLimit: z.int().min(1).default(2_000),
  defaultDeadlineMilliseconds: z
    .int()
    .min(1)
    .max(millisecondsPerHour)
    .default(10_000),
  retryBudgetPercent: z.number().min(0).max(100).default(10),
});

const teamSchema = z.strictObject({
  team: nameSchema,
  weight: z.number().positive().default(1),
  concurrencyQuota: z.int().min(1).optional(),
  startsPerSecondQuota: startsPerSecondSchema,
});

/** Schema of the file that the setting `initialConfigurationFile` names. */
export const initialConfigurationSchema = z.strictObject({
  services: createUniqueArraySchema(
    serviceSchema,
    entry => entry.service,
    'service',
  ).default([]),
  teams: createUniqueArraySchema(
    teamSchema,
    entry => entry.team,
    'team',
  ).default([]),
});

/** Validated initial configuration, with defaults filled in. */
export type InitialConfiguration = z.output<typeof initialConfigurationSchema>;
