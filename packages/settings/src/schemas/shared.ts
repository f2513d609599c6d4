/** Schemas shared by the settings of several roles. */
import { isIP } from 'node:net';

import { LogFormat, LogLevel } from '@cranberryturn/types';
import * as z from 'zod';

const maximumPort = 65_535;
const bytesPerMebibyte = 1_048_576;
const millisecondsPerHour = 3_600_000;
const unspecifiedAddresses = new Set(['0.0.0.0', '::']);

/** Name of a process, host, rack, data centre, service or team. */
export const nameSchema = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, {
    error:
      'a name of 1 to 63 letters, digits, ".", "_" or "-" that starts with a letter or digit',
  });

/** Path of a file or folder, relative to the working folder of the process. */
export const pathSchema = z.string().min(1);

/** IPv4 or IPv6 address. Host names are rejected, because they are not looked up. */
export const ipAddressSchema = z.string().refine(text => isIP(text) !== 0, {
  error: 'an IP address such as 10.0.0.7 or ::1 (host names are not looked up)',
});

/** Address on which a process listens. Port 0 selects any free port. */
export const listenAddressSchema = z.strictObject({
  address: ipAddressSchema,
  port: z.int().min(0).max(maximumPort),
});

/** Address of another process. */
export const peerAddressSchema = z.strictObject({
  address: ipAddressSchema,
  port: z.int().min(1).max(maximumPort),
});

/** Listening address that is advertised to other processes. `0.0.0.0` and `::` need `advertisedAddress`. */
export const advertisedListenAddressSchema = z
  .strictObject({
    ...listenAddressSchema.shape,
    advertisedAddress: ipAddressSchema.optional(),
  })
  .refine(
    ({ address, advertisedAddress }) =>
      !unspecifiedAddresses.has(address) || advertisedAddress !== undefined,
    {
      path: ['advertisedAddress'],
      error:
        'the IP address that other processes dial, because this process listens on all addresses',
    },
  );

/** Identifier and address of a control replica. */
export const controlPeerSchema = z.strictObject({
  replicaId: nameSchema,
  ...peerAddressSchema.shape,
});

/** Base URL of an HTTP service. */
export const urlSchema = z.string().refine(isHttpUrl, {
  error: 'a URL such as http://127.0.0.1:8080',
});

/** SHA-256 digest of a bearer token. */
export const tokenDigestSchema = z.string().regex(/^sha256:[0-9a-f]{64}$/, {
  error:
    '"sha256:" and 64 hexadecimal digits, as printed by `cranberryctl token create`; never the token itself',
});

const tokenDigestsSchema = z.array(tokenDigestSchema).min(1);

/** Teams and the digests of their tokens. */
export const teamsSchema = createUniqueArraySchema(
  z.strictObject({ team: nameSchema, tokenDigests: tokenDigestsSchema }),
  entry => entry.team,
  'team',
);

/** Operators and the digests of their tokens. */
export const operatorsSchema = createUniqueArraySchema(
  z.strictObject({ name: nameSchema, tokenDigests: tokenDigestsSchema }),
  entry => entry.name,
  'name',
);

/** Resources of a worker that its tasks may use. */
export const resourcesSchema = z.strictObject({
  processors: z.number().positive().max(4096),
  memoryMebibytes: z.int().min(1),
  accelerators: z.int().min(0).default(0),
});

/** Destination, format and level of the log of a process. */
export const logSchema = z
  .strictObject({
    level: z.enum(LogLevel).default(LogLevel.Info),
    /** When absent: readable text at a terminal, JSON otherwise. */
    format: z.enum(LogFormat).optional(),
    /** Log file. When absent, lines go to the standard error output. */
    file: pathSchema.optional(),
    /** Whether lines go to the standard output, through a bounded buffer that drops lines when it is full. */
    standardOutput: z.boolean().default(false),
    /** File with one JSON line for each routing or placement decision. When absent, decisions go to the log. */
    decisionFile: pathSchema.optional(),
  })
  .prefault({});

/** Validated log settings, with defaults filled in. */
export type LogSettings = z.output<typeof logSchema>;

/** Requests of one connection that may wait for their responses at the same time; one more closes it. */
export const requestsPerConnectionSchema = z
  .int()
  .min(1)
  .max(10_000)
  .default(64);

/** Memory that callers can make a process hold. */
export const heldBytesSchema = z
  .int()
  .min(bytesPerMebibyte)
  .max(16_384 * bytesPerMebibyte);

/** Maximum age and total size of the answers kept after their tasks finished. */
export const retentionSchema = z
  .strictObject({
    answersMilliseconds: z
      .int()
      .min(1_000)
      .max(24 * millisecondsPerHour)
      .default(600_000),
    answersBytes: z
      .int()
      .min(bytesPerMebibyte)
      .max(4096 * bytesPerMebibyte)
      .default(64 * bytesPerMebibyte),
  })
  .prefault({});

/** Heartbeats on connections between the processes of a deployment. */
export const heartbeatSchema = z
  .strictObject({
    intervalMilliseconds: z.int().min(10).max(60_000).default(1_000),
    /** Maximum interval between heartbeats while nothing is in flight. */
    idleIntervalMilliseconds: z.int().min(10).max(60_000).default(5_000),
    /** Time without a message after which the peer is suspected and a new connection is dialled. */
    suspectAfterMilliseconds: z.int().min(20).max(300_000).default(3_000),
  })
  .refine(
    ({ intervalMilliseconds, suspectAfterMilliseconds }) =>
      suspectAfterMilliseconds >= 2 * intervalMilliseconds,
    {
      path: ['suspectAfterMilliseconds'],
      error: 'at least twice intervalMilliseconds',
    },
  )
  .prefault({});

/** Planned stop of a process. */
export const stopSchema = z
  .strictObject({
    /** Maximum time for work in flight to finish and be acknowledged. */
    graceMilliseconds: z.int().min(0).max(millisecondsPerHour).default(60_000),
  })
  .prefault({});

/** Seed of the random number generator of a process. When absent, a seed is drawn at start and logged. */
export const seedSchema = z.int().min(0).optional();

/** Creates the schema of an array whose entries are unique by `keyOf`. Errors point at `keyName`. */
export function createUniqueArraySchema<Entry extends z.ZodType>(
  entry: Entry,
  keyOf: (value: z.output<Entry>) => string,
  keyName: string,
): z.ZodArray<Entry> {
  return z.array(entry).check(context => {
    const seen = new Set<string>();
    context.value.forEach((value, index) => {
      const key = keyOf(value);
      if (seen.has(key)) {
        context.issues.push({
          code: 'custom',
          input: key,
          path: [index, keyName],
          message: `a ${keyName} that differs from those of all earlier entries`,
        });
      }
      seen.add(key);
    });
  });
}

function isHttpUrl(text: string): boolean {
  return (
    URL.canParse(text) && ['http:', 'https:'].includes(new URL(text).protocol)
  );
}
