/** Drain state of a target. */

/** Tracks whether a target refuses new attempts because operators drain it or its sidecar stops. */
export class DrainState {
  #isDrainedByOperator = false;
  #isStopping = false;

  get isDraining(): boolean {
    return this.#isDrainedByOperator || this.#isStopping;
  }

  /** Applies the setting of the operators. Returns whether draining begins with this change. */
  setDrainedByOperator(isDrained: boolean): boolean {
    const before = this.isDraining;
    this.#isDrainedByOperator = isDrained;
    return !before && this.isDraining;
  }

  /** Marks the sidecar as stopping, which cannot be undone. Returns whether draining begins with it. */
  beginStop(): boolean {
    const before = this.isDraining;
    this.#isStopping = true;
    return !before;
  }
}
