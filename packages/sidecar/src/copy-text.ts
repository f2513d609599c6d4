/** Copies strings that are kept for long. */

/**
 * Returns a flat copy of a decoded string. V8 may represent the original as a
 * chain of pieces, which would stay in memory with it.
 */
export function copyText(text: string): string {
  const copy = Buffer.from(text).toString();
  return copy === text ? copy : text;
}
