/** Returns the entries with the one of the same key replaced, or with the new entry appended. */
export function upsertByKey<Entry>(
  entries: readonly Entry[],
  entry: Entry,
  keyOf: (entry: Entry) => string,
): readonly Entry[] {
  const key = keyOf(entry);
  if (!entries.some(known => keyOf(known) === key)) return [...entries, entry];
  return entries.map(known => (keyOf(known) === key ? entry : known));
}
