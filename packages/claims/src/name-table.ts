/** Numbers for names that many records share. */

/** One name with the number of its holders. */
export interface InternedName {
  readonly number: number;
  readonly name: string;
  readonly holders: number;
}

interface MutableInternedName extends InternedName {
  holders: number;
}

/** Names that are kept while a record holds them. */
export class NameTable {
  readonly #byName = new Map<string, MutableInternedName>();
  readonly #byNumber = new Map<number, MutableInternedName>();
  readonly #free: number[] = [];

  /** Builds the table from plain data. */
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

  /** Returns the number of the name, for one holder more. */
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

  /** Ends one hold. */
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

  /** Returns the number, or undefined when no record holds the name. */
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
