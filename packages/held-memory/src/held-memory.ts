/** Reservations from one bound; those that wait for their callers are evicted for others. */

/** A part of the held memory. */
export interface Reservation {
  readonly bytes: number;
  /**
   * Changes the size, and evicts older reservations that are not pinned for an increase. Returns false when that makes
   * too little room; the size stays as it was then.
   */
  resize(bytes: number): boolean;
  /** Changes the size even beyond the bound, for what exists already. */
  record(bytes: number): void;
  /** Protects the reservation from eviction. */
  pin(): void;
  /** Allows the eviction of the reservation, as the newest one. */
  unpin(): void;
  release(): void;
}

/** Memory of one process, in bytes. */
export class HeldMemory {
  readonly maximumBytes: number;
  #bytes = 0;
  /** Reservations that can be evicted, oldest first. */
  readonly #evictable = new Set<HeldReservation>();

  constructor(maximumBytes: number) {
    this.maximumBytes = maximumBytes;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Whether this many more bytes stay within the bound without an eviction. */
  hasRoomFor(bytes: number): boolean {
    return this.#bytes + bytes <= this.maximumBytes;
  }

  /** Creates an empty reservation. `handleEviction` has to stop using the memory, which was released. */
  reserve(handleEviction: () => void): Reservation {
    const reservation = new HeldReservation(handleEviction, {
      add: bytes => {
        this.#bytes += bytes;
      },
      makeRoom: (growth, requester) => this.#makeRoom(growth, requester),
      evictable: this.#evictable,
    });
    this.#evictable.add(reservation);
    return reservation;
  }

  /** Creates an empty reservation that is never evicted. */
  reservePinned(): Reservation {
    const reservation = this.reserve(() => undefined);
    reservation.pin();
    return reservation;
  }

  #makeRoom(growth: number, requester: HeldReservation): boolean {
    while (!this.hasRoomFor(growth)) {
      const [oldest] = this.#evictable;
      if (oldest === undefined || oldest === requester) return false;
      oldest.evict();
    }
    return true;
  }
}

interface Ledger {
  add(bytes: number): void;
  makeRoom(growth: number, requester: HeldReservation): boolean;
  readonly evictable: Set<HeldReservation>;
}

class HeldReservation implements Reservation {
  readonly #handleEviction: () => void;
  readonly #ledger: Ledger;
  #bytes = 0;
  #isReleased = false;

  constructor(handleEviction: () => void, ledger: Ledger) {
    this.#handleEviction = handleEviction;
    this.#ledger = ledger;
  }

  get bytes(): number {
    return this.#bytes;
  }

  resize(bytes: number): boolean {
    if (this.#isReleased) return false;
    const growth = bytes - this.#bytes;
    if (growth > 0 && !this.#ledger.makeRoom(growth, this)) return false;
    this.record(bytes);
    return true;
  }

  record(bytes: number): void {
    if (this.#isReleased) return;
    this.#ledger.add(bytes - this.#bytes);
    this.#bytes = bytes;
  }

  pin(): void {
    this.#ledger.evictable.delete(this);
  }

  unpin(): void {
    if (this.#isReleased) return;
    this.#ledger.evictable.delete(this);
    this.#ledger.evictable.add(this);
  }

  release(): void {
    this.record(0);
    this.#isReleased = true;
    this.#ledger.evictable.delete(this);
  }

  evict(): void {
    this.release();
    this.#handleEviction();
  }
}
