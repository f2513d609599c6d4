/** Puts an entry in the place of the one with the same key, or at the end. */
export function replaceByKey<Entry>(
  entries: readonly Entry[],
  entry: Entry,
  keyOf: (entry: Entry) => string,
): readonly Entry[] {
  const key = keyOf(entry);
  if (!entries.some(known => keyOf(known) === key)) return [...entries, entry];
  return entries.map(known => (keyOf(known) === key ? entry : known));
}
