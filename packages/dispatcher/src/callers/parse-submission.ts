/** Parses and validates the bodies that callers send. */
import {
  type JobRequest,
  type JsonText,
  maximumTasksPerJob,
  type Milliseconds,
  type ServiceName,
  type TeamName,
} from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';

import { composeJobId } from './job-identifiers.js';

const maximumIdentifierLength = 200;
const maximumDeadlineMilliseconds: Milliseconds = 600_000;
const singleTaskId = 'request';

const identifierSchema = z.string().min(1).max(maximumIdentifierLength);

const declaredSchema = z.strictObject({
  processors: z.number().positive().optional(),
  memoryMebibytes: z.number().positive().optional(),
  accelerators: z.int().min(0).optional(),
  runMilliseconds: z.number().positive().optional(),
});

const deadlineSchema = z
  .number()
  .positive()
  .max(maximumDeadlineMilliseconds)
  .optional();

const taskSchema = z.strictObject({
  taskId: identifierSchema,
  payload: z.unknown(),
  declared: declaredSchema.optional(),
});

const jobSchema = z.strictObject({
  jobId: identifierSchema,
  tasks: z.array(taskSchema).min(1).max(maximumTasksPerJob),
  idempotent: z.boolean().optional(),
  deadlineMilliseconds: deadlineSchema,
  team: z.string().optional(),
});

const requestSchema = z.strictObject({
  payload: z.unknown(),
  declared: declaredSchema.optional(),
  deadlineMilliseconds: deadlineSchema,
  team: z.string().optional(),
});

/** Where a body was sent to, by which team, and the default deadline of the service. */
export interface SubmissionContext {
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly defaultDeadlineMilliseconds: Milliseconds;
}

/** Parses the body of a job. The error is a sentence for the caller. */
export function parseJob(
  text: string,
  context: SubmissionContext,
): Result<JobRequest, string> {
  return parseBody(text, jobSchema).andThen(body => {
    const problem =
      findTeamError(body.team, context) ?? findDuplicateTaskError(body.tasks);
    if (problem !== undefined) return err(problem);
    return ok({
      jobId: composeJobId(context.team, body.jobId),
      service: context.service,
      team: context.team,
      tasks: body.tasks.map(task => ({
        taskId: task.taskId,
        payload: serializeJson(task.payload),
        declared: task.declared,
      })),
      // Tasks of a job start at most once, even when the caller declares them idempotent.
      idempotent: false,
      deadlineMilliseconds:
        body.deadlineMilliseconds ?? context.defaultDeadlineMilliseconds,
    });
  });
}

/**
 * Parses the body of a request into a job with one task.
 * `callerJobId` identifies the job within the team. The error is a sentence for the caller.
 */
export function parseRequest(
  text: string,
  context: SubmissionContext,
  callerJobId: string,
  idempotent: boolean,
): Result<JobRequest, string> {
  return parseBody(text, requestSchema).andThen(body => {
    const problem = findTeamError(body.team, context);
    if (problem !== undefined) return err(problem);
    const payload = serializeJson(body.payload);
    return ok({
      jobId: composeJobId(context.team, callerJobId),
      service: context.service,
      team: context.team,
      tasks: [{ taskId: singleTaskId, payload, declared: body.declared }],
      idempotent,
      deadlineMilliseconds:
        body.deadlineMilliseconds ?? context.defaultDeadlineMilliseconds,
    });
  });
}

function parseBody<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): Result<z.output<Schema>, string> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return err('The body is not JSON; send one JSON object.');
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  const issues = parsed.error.issues.map(
    issue => `${issue.path.map(String).join('.') || 'body'}: ${issue.message}`,
  );
  return err(`The body is not valid. ${issues.join('; ')}.`);
}

function findTeamError(
  team: string | undefined,
  context: SubmissionContext,
): string | undefined {
  if (team === undefined || team === context.team) return undefined;
  return `The token belongs to team "${context.team}", not to "${team}"; leave "team" out or use a token of that team.`;
}

function findDuplicateTaskError(
  tasks: readonly { readonly taskId: string }[],
): string | undefined {
  const seen = new Set<string>();
  for (const { taskId } of tasks) {
    if (seen.has(taskId)) {
      return `taskId "${taskId}" occurs twice in the job; give each task its own taskId.`;
    }
    seen.add(taskId);
  }
  return undefined;
}

function serializeJson(value: unknown): JsonText {
  return value === undefined ? 'null' : JSON.stringify(value);
}
