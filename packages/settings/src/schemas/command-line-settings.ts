/** Schema of the settings file of `cranberryctl`. */
import * as z from 'zod';

import { pathSchema, urlSchema } from './shared.js';

/** Schema of the settings of the operators' command line. */
export const commandLineSettingsSchema = z.strictObject({
  /** Base URLs of the administration API at the control hosts; tried in order. */
  administration: z.array(urlSchema).min(1),
  /** File with the operator's token. The environment variable CRANBERRY_TOKEN takes precedence. */
  tokenFile: pathSchema.optional(),
  /** Timeout for one call of the administration API, including its retries. */
  timeoutMilliseconds: z.int().min(100).max(600_000).default(10_000),
});

/** Validated settings of the operators' command line, with defaults filled in. */
export type CommandLineSettings = z.output<typeof commandLineSettingsSchema>;
