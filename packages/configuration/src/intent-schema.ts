/** Validates intents from outside the process. */
import { InvalidInputError } from '@cranberryturn/errors';
import {
  type Intent,
  IntentKind,
  type Milliseconds,
} from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';

const maximumPort = 65_535;
const maximumCount = 10_000_000;
/** `kind` and `service`; an intent with these only sets no limit. */
const requiredFieldCount = 2;
const maximumDeadlineMilliseconds = 3_600_000;

const nameSchema = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, {
  error:
    'must be a name of 1 to 63 letters, digits, ".", "_" or "-" that starts with a letter or digit',
});
const countSchema = z.int().min(1).max(maximumCount);
const deadlineSchema = z.int().min(1).max(maximumDeadlineMilliseconds);
const queueSchema = z.int().min(0).max(maximumCount);
const retryBudgetSchema = z.number().min(0).max(100);

const resourcesSchema = z.strictObject({
  processors: z.number().positive().max(4_096),
  memoryMebibytes: z.int().min(1),
  accelerators: z.int().min(0),
});

const announcedSchema = z.strictObject({
  service: nameSchema,
  rack: nameSchema,
  dataCentre: nameSchema,
});

const workerSchema = z.strictObject({
  targetId: nameSchema,
  ...announcedSchema.shape,
  resources: resourcesSchema.optional(),
  slots: z.int().min(1).max(4_096).optional(),
});

const serviceSchema = z.strictObject({
  service: nameSchema,
  concurrencyLimit: countSchema.optional(),
  startsPerSecondLimit: countSchema.optional(),
  queueLimit: queueSchema,
  defaultDeadlineMilliseconds: deadlineSchema,
  retryBudgetPercent: retryBudgetSchema,
});

const teamSchema = z.strictObject({
  team: nameSchema,
  weight: z.number().min(0.01).max(1_000),
  concurrencyQuota: countSchema.optional(),
  startsPerSecondQuota: countSchema.optional(),
});

const controlHostSchema = z.strictObject({
  replicaId: nameSchema,
  host: nameSchema,
  address: z.strictObject({
    address: z.union([z.ipv4(), z.ipv6()], {
      error: 'must be an IP address; host names are not looked up',
    }),
    port: z.int().min(1).max(maximumPort),
  }),
});

const minimumRetentionMilliseconds: Milliseconds = 10_000;
/**
 * Incarnations that left are remembered for an hour; a claim must not be kept
 * longer than the evidence about its owner.
 */
const maximumRetentionMilliseconds: Milliseconds = 3_600_000;
const minimumClaimLimit = 1_000;
const maximumClaimLimit = 10_000_000;

const setLimitSchema = z
  .strictObject({
    kind: z.literal(IntentKind.SetLimit),
    service: nameSchema,
    concurrencyLimit: countSchema.nullable().optional(),
    startsPerSecondLimit: countSchema.nullable().optional(),
    queueLimit: queueSchema.optional(),
    defaultDeadlineMilliseconds: deadlineSchema.optional(),
    retryBudgetPercent: retryBudgetSchema.optional(),
  })
  .refine(intent => countDefinedFields(intent) > requiredFieldCount, {
    error: 'name at least one limit',
  });

const retentionSchema = z
  .strictObject({
    finishedMilliseconds: z
      .int()
      .min(minimumRetentionMilliseconds)
      .max(maximumRetentionMilliseconds),
    unfinishedMilliseconds: z
      .int()
      .min(minimumRetentionMilliseconds)
      .max(maximumRetentionMilliseconds),
    maximumClaims: z.int().min(minimumClaimLimit).max(maximumClaimLimit),
  })
  .refine(
    ({ finishedMilliseconds, unfinishedMilliseconds }) =>
      finishedMilliseconds <= unfinishedMilliseconds,
    {
      path: ['unfinishedMilliseconds'],
      error: 'at least finishedMilliseconds',
    },
  );

/** Schema of all intents. */
export const intentSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal(IntentKind.AddWorker),
    worker: workerSchema,
  }),
  z.strictObject({
    kind: z.enum([
      IntentKind.RemoveWorker,
      IntentKind.DrainWorker,
      IntentKind.UndrainWorker,
    ]),
    targetId: nameSchema,
    announced: announcedSchema.optional(),
  }),
  z.strictObject({
    kind: z.enum([IntentKind.DrainRack, IntentKind.UndrainRack]),
    rack: nameSchema,
  }),
  z.strictObject({
    kind: z.enum([IntentKind.DrainDataCentre, IntentKind.UndrainDataCentre]),
    dataCentre: nameSchema,
  }),
  z.strictObject({
    kind: z.literal(IntentKind.SetService),
    service: serviceSchema,
  }),
  setLimitSchema,
  z.strictObject({
    kind: z.literal(IntentKind.RemoveService),
    service: nameSchema,
  }),
  z.strictObject({ kind: z.literal(IntentKind.SetQuota), team: teamSchema }),
  z.strictObject({ kind: z.literal(IntentKind.RemoveTeam), team: nameSchema }),
  z.strictObject({
    kind: z.literal(IntentKind.AddControlHost),
    controlHost: controlHostSchema,
  }),
  z.strictObject({
    kind: z.literal(IntentKind.RemoveControlHost),
    replicaId: nameSchema,
  }),
  z.strictObject({
    kind: z.literal(IntentKind.ReplaceControlHost),
    replicaId: nameSchema,
    replacement: controlHostSchema,
  }),
  z.strictObject({
    kind: z.literal(IntentKind.SetClaimRetention),
    retention: retentionSchema,
  }),
]) satisfies z.ZodType<Intent>;

/** Validates an intent; the error names each invalid field. */
export function parseIntent(input: unknown): Result<Intent, InvalidInputError> {
  const parsed = intentSchema.safeParse(input);
  if (parsed.success) return ok(parsed.data);
  const problems = parsed.error.issues.map(
    issue => `${issue.path.join('.') || 'intent'}: ${issue.message}`,
  );
  return err(
    new InvalidInputError(
      `The intent is not valid: ${problems.join('; ')}. Correct it and plan again; nothing was changed.`,
      { step: 'read intent' },
    ),
  );
}

function countDefinedFields(entry: object): number {
  return Object.values(entry).filter(value => value !== undefined).length;
}
