/** Reads items that a test expects to exist. */

/** Returns an item that the test expects to exist. Throws when there is none. */
export function getItem<Item>(items: readonly Item[], index: number): Item {
  const item = items[index];
  if (item === undefined)
    throw new Error(`List has no item at index ${String(index)}.`);
  return item;
}

export function first<Item>(items: readonly Item[]): Item {
  return getItem(items, 0);
}
