/** Settings of `cranberryctl`. */
import * as z from 'zod';

import { pathSchema, urlSchema } from './shared.js';

/** Schema of the settings of the operator's command line. */
export const commandLineSettingsSchema = z.strictObject({
  /** Administration addresses of the control hosts; tried in order. */
  administration: z.array(urlSchema).min(1),
  /** File that holds the operator's token; the environment variable CRANBERRY_TOKEN goes first. */
  tokenFile: pathSchema.optional(),
  /** Longest wait for one answer. */
  timeoutMilliseconds: z.int().min(100).max(600_000).default(10_000),
});

/** Checked settings of the operator's command line. */
export type CommandLineSettings = z.output<typeof commandLineSettingsSchema>;
