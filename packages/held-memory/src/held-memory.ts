/** Reservations from one bound; those that wait for their callers give way to others. */

/** A part of the held memory. */
export interface Reservation {
  readonly bytes: number;
  /**
   * Changes the size, and lets older reservations that are not pinned give way to an increase. Returns false when
   * that makes too little room; the size stays as it was then.
   */
  resize(bytes: number): boolean;
  /** Changes the size even beyond the bound, for what exists already. */
  record(bytes: number): void;
  /** Does not give way from now on. */
  pin(): void;
  /** Gives way from now on, as the newest reservation. */
  unpin(): void;
  release(): void;
}

/** Memory of one process, in bytes. */
export class HeldMemory {
  readonly maximumBytes: number;
  #bytes = 0;
  /** Reservations that can give way, oldest first. */
  readonly #yielding = new Set<HeldReservation>();

  constructor(maximumBytes: number) {
    this.maximumBytes = maximumBytes;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /** Whether this many more bytes stay within the bound without that any reservation gives way. */
  hasRoomFor(bytes: number): boolean {
    return this.#bytes + bytes <= this.maximumBytes;
  }

  /** Creates an empty reservation. `giveWay` has to stop using the memory; the reservation is released after it. */
  reserve(giveWay: () => void): Reservation {
    const reservation = new HeldReservation(giveWay, {
      add: bytes => {
        this.#bytes += bytes;
      },
      makeRoom: (growth, requester) => this.#makeRoom(growth, requester),
      yielding: this.#yielding,
    });
    this.#yielding.add(reservation);
    return reservation;
  }

  /** Creates an empty reservation that never gives way. */
  reservePinned(): Reservation {
    const reservation = this.reserve(() => undefined);
    reservation.pin();
    return reservation;
  }

  #makeRoom(growth: number, requester: HeldReservation): boolean {
    while (!this.hasRoomFor(growth)) {
      const [oldest] = this.#yielding;
      if (oldest === undefined || oldest === requester) return false;
      oldest.giveWay();
    }
    return true;
  }
}

interface Ledger {
  add(bytes: number): void;
  makeRoom(growth: number, requester: HeldReservation): boolean;
  readonly yielding: Set<HeldReservation>;
}

class HeldReservation implements Reservation {
  readonly #giveWay: () => void;
  readonly #ledger: Ledger;
  #bytes = 0;
  #isReleased = false;

  constructor(giveWay: () => void, ledger: Ledger) {
    this.#giveWay = giveWay;
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
    this.#ledger.yielding.delete(this);
  }

  unpin(): void {
    if (this.#isReleased) return;
    this.#ledger.yielding.delete(this);
    this.#ledger.yielding.add(this);
  }

  release(): void {
    this.record(0);
    this.#isReleased = true;
    this.#ledger.yielding.delete(this);
  }

  giveWay(): void {
    this.release();
    this.#giveWay();
  }
}
