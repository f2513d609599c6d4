/** Redacts secrets from log messages and fields. */
const redactedPlaceholder = '[redacted]';
const maximumDepth = 6;
const secretFieldNames = new Set([
  'authorization',
  'cookie',
  'key',
  'password',
  'secret',
  'sharedkey',
  'sharedkeys',
  'token',
  'tokens',
  'bearertoken',
]);
const secretPattern = /\b(?:Bearer\s+\S+|cb[tk]_[A-Za-z0-9_-]+)/gi;

/**
 * Returns a copy of `value` without secrets: fields are redacted by their name, tokens and keys by
 * their pattern inside strings. Values nested deeper than six levels are cut off.
 */
export function redactSecrets(value: unknown, depth = 0): unknown {
  if (typeof value === 'string')
    return value.replace(secretPattern, redactedPlaceholder);
  if (typeof value !== 'object' || value === null) return value;
  if (value instanceof Error) return describeError(value, depth);
  if (depth >= maximumDepth) return '[too deep]';
  if (Array.isArray(value)) {
    return value.map(entry => redactSecrets(entry, depth + 1));
  }
  const entries = Object.entries(value).map(([name, entry]) => [
    name,
    secretFieldNames.has(name.toLowerCase())
      ? redactedPlaceholder
      : redactSecrets(entry, depth + 1),
  ]);
  return Object.fromEntries(entries) as unknown;
}

/** Converts an error to its loggable fields: name, message, step, peer and cause. */
function describeError(error: Error, depth: number): unknown {
  if (depth >= maximumDepth) return '[too deep]';
  const { step, peer } = error as { step?: unknown; peer?: unknown };
  return {
    name: error.name,
    message: redactSecrets(error.message),
    ...(step === undefined ? {} : { step }),
    ...(peer === undefined ? {} : { peer }),
    ...(error.cause === undefined
      ? {}
      : { cause: redactSecrets(error.cause, depth + 1) }),
  };
}
