/** Payload and answer of the tasks of a stand-in target. */
import type { Milliseconds } from '@cranberryturn/types';
import * as z from 'zod';

const maximumRunMilliseconds: Milliseconds = 600_000;
const maximumPaddingBytes = 2 * 1_048_576;

/** Schema of the payload, which controls how the stand-in target runs the task. */
export const taskPayloadSchema = z.object({
  /** Run time of the task; drawn by the target if absent. */
  runMilliseconds: z.number().min(0).max(maximumRunMilliseconds).optional(),
  /** Size of the padding in the answer. */
  answerBytes: z.int().min(0).max(maximumPaddingBytes).default(0),
  /** Message with which the task fails after it has run. */
  failure: z.string().optional(),
});

/** A validated payload. */
export type TaskPayload = z.output<typeof taskPayloadSchema>;

/** Answer of a stand-in target; the identifiers show whether answers of tasks were mixed up. */
export interface StandInAnswer {
  readonly jobId: string;
  readonly taskId: string;
  readonly attempt: number;
  readonly target: string;
  readonly padding: string;
}
