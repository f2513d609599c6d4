/** Error that lists every problem of a settings file. */
import { InvalidInputError } from '@cranberryturn/errors';

/** One problem at one position of the file. */
export interface SettingsProblem {
  /** Line number, from 1. */
  readonly line: number;
  /** Column number, from 1. */
  readonly column: number;
  /** Path of the key, for example `limits.bodyBytes`; empty for the whole file. */
  readonly keyPath: string;
  readonly found: string;
  readonly allowed: string;
  /** Most similar known key; only for an unknown key. */
  readonly suggestion?: string | undefined;
}

/** Reports an unreadable or invalid settings file. The message lists every problem. */
export class SettingsError extends InvalidInputError {
  readonly fileName: string;
  readonly problems: readonly SettingsProblem[];

  constructor(
    fileName: string,
    problems: readonly SettingsProblem[],
    cause?: unknown,
  ) {
    super(
      describeProblems(fileName, problems),
      { step: 'read settings' },
      cause,
    );
    this.fileName = fileName;
    this.problems = problems;
  }
}

function describeProblems(
  fileName: string,
  problems: readonly SettingsProblem[],
): string {
  const count =
    problems.length === 1 ? '1 problem' : `${String(problems.length)} problems`;
  const lines = problems.map(problem => describeProblem(fileName, problem));
  return [`Settings file ${fileName} has ${count}:`, ...lines].join('\n');
}

function describeProblem(fileName: string, problem: SettingsProblem): string {
  const position = `${fileName}:${String(problem.line)}:${String(problem.column)}`;
  const key = problem.keyPath === '' ? '(whole file)' : problem.keyPath;
  const hint =
    problem.suggestion === undefined
      ? ''
      : `. Did you mean "${problem.suggestion}"?`;
  return `  ${position} ${key}: found ${problem.found}; allowed: ${problem.allowed}${hint}`;
}
