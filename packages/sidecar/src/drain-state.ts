/** Why a target accepts no new attempts. */

/** Whether operators drain the target, or its sidecar stops. */
export class DrainState {
  #isDrainedByOperator = false;
  #isStopping = false;

  get isDraining(): boolean {
    return this.#isDrainedByOperator || this.#isStopping;
  }

  /** Returns whether draining begins with this change. */
  setDrainedByOperator(isDrained: boolean): boolean {
    const before = this.isDraining;
    this.#isDrainedByOperator = isDrained;
    return !before && this.isDraining;
  }

  /** Returns whether draining begins with this stop, which is for good. */
  beginStop(): boolean {
    const before = this.isDraining;
    this.#isStopping = true;
    return !before;
  }
}
