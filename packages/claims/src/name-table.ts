/** Interned names: maps names that many records share to small numbers. */

/** One name with its reference count. */
export interface InternedName {
  readonly number: number;
  readonly name: string;
  readonly holders: number;
}

interface MutableInternedName extends InternedName {
  holders: number;
}

/** Reference-counted names. A name is removed, and its number reused, when no record refers to it. */
export class NameTable {
  readonly #byName = new Map<string, MutableInternedName>();
  readonly #byNumber = new Map<number, MutableInternedName>();
  readonly #free: number[] = [];

  /** Restores a table from a snapshot. */
  constructor(names: readonly InternedName[] = []) {
    let maximumNumber = -1;
    for (const entry of names) {
      this.#add({ ...entry });
      maximumNumber = Math.max(maximumNumber, entry.number);
    }
    for (let number = 0; number < maximumNumber; number += 1) {
      if (!this.#byNumber.has(number)) this.#free.push(number);
    }
  }

  /** Returns the number of a name and adds a reference. */
  acquire(name: string): number {
    const known = this.#byName.get(name);
    if (known !== undefined) {
      known.holders += 1;
      return known.number;
    }
    const number = this.#free.pop() ?? this.#byNumber.size;
    this.#add({ number, name, holders: 1 });
    return number;
  }

  /** Removes a reference. */
  release(number: number): void {
    const entry = this.#byNumber.get(number);
    if (entry === undefined) return;
    entry.holders -= 1;
    if (entry.holders > 0) return;
    this.#byName.delete(entry.name);
    this.#byNumber.delete(number);
    this.#free.push(number);
  }

  nameOf(number: number): string {
    return this.#byNumber.get(number)?.name ?? '';
  }

  /** Returns the number of a name; undefined when no record refers to the name. */
  find(name: string): number | undefined {
    return this.#byName.get(name)?.number;
  }

  capture(): readonly InternedName[] {
    return [...this.#byNumber.values()].map(entry => ({ ...entry }));
  }

  #add(entry: MutableInternedName): void {
    this.#byName.set(entry.name, entry);
    this.#byNumber.set(entry.number, entry);
  }
}
