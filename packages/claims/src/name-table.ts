/** Numbers for names that many records share. */

/** One name with the number of its holders. */
export interface HeldName {
  readonly number: number;
  readonly name: string;
  readonly holders: number;
}

interface MutableHeldName extends HeldName {
  holders: number;
}

/** Names that are kept while a record holds them. */
export class NameTable {
  readonly #byName = new Map<string, MutableHeldName>();
  readonly #byNumber = new Map<number, MutableHeldName>();
  readonly #free: number[] = [];

  /** Builds the table from plain data. */
  constructor(names: readonly HeldName[] = []) {
    let largest = -1;
    for (const held of names) {
      this.#add({ ...held });
      largest = Math.max(largest, held.number);
    }
    for (let number = 0; number < largest; number += 1) {
      if (!this.#byNumber.has(number)) this.#free.push(number);
    }
  }

  /** Returns the number of the name, for one holder more. */
  hold(name: string): number {
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
    const held = this.#byNumber.get(number);
    if (held === undefined) return;
    held.holders -= 1;
    if (held.holders > 0) return;
    this.#byName.delete(held.name);
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

  capture(): readonly HeldName[] {
    return [...this.#byNumber.values()].map(held => ({ ...held }));
  }

  #add(held: MutableHeldName): void {
    this.#byName.set(held.name, held);
    this.#byNumber.set(held.number, held);
  }
}
