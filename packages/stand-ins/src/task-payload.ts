/** Payload and answer of a task of a stand-in target. */
import type { Milliseconds } from '@cranberryturn/types';
import * as z from 'zod';

const maximumRunMilliseconds: Milliseconds = 600_000;
const maximumPaddingBytes = 2 * 1_048_576;

/** Schema of the payload: what the stand-in target does with the task. */
export const taskPayloadSchema = z.object({
  /** Time the task runs; drawn by the target when absent. */
  runMilliseconds: z.number().min(0).max(maximumRunMilliseconds).optional(),
  /** Size of the padding in the answer. */
  answerBytes: z.int().min(0).max(maximumPaddingBytes).default(0),
  /** Message with which the task fails after it has run. */
  failure: z.string().optional(),
});

/** What the stand-in target does with a task. */
export type TaskPayload = z.output<typeof taskPayloadSchema>;

/** Answer of a stand-in target; the names show whether answers were crossed. */
export interface StandInAnswer {
  readonly jobId: string;
  readonly taskId: string;
  readonly attempt: number;
  readonly target: string;
  readonly padding: string;
}
