/** Copies text into the least memory. */

/** Decoded text may be a chain of pieces; the copy is one piece and keeps none of them. */
export function copyText(text: string): string {
  const copy = Buffer.from(text).toString();
  return copy === text ? copy : text;
}
