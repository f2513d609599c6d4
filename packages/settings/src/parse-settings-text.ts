/** Parses the text of a settings file and validates it against a schema. */
import { err, ok, type Result } from 'neverthrow';
import type * as z from 'zod';

import { describeIssue } from './describe-issue.js';
import { parseDocument } from './parse-document.js';
import { SettingsError, type SettingsProblem } from './settings-error.js';

/**
 * Parses JSON with comments and validates it against `schema`. The error lists every problem, in the
 * order of the file; syntax errors and duplicate keys are reported before any validation.
 */
export function parseSettingsText<Schema extends z.ZodType>(
  text: string,
  fileName: string,
  schema: Schema,
): Result<z.output<Schema>, SettingsError> {
  const document = parseDocument(text);
  if (document.problems.length > 0) {
    return err(new SettingsError(fileName, document.problems));
  }
  const checked = schema.safeParse(document.value);
  if (checked.success) return ok(checked.data);
  const problems = checked.error.issues.flatMap(issue =>
    describeIssue(issue, document, schema),
  );
  return err(new SettingsError(fileName, problems.sort(compareProblems)));
}

function compareProblems(
  left: SettingsProblem,
  right: SettingsProblem,
): number {
  return left.line - right.line || left.column - right.column;
}
