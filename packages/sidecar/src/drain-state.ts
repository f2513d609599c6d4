/** Why a target accepts no new attempts. */

/** Whether operators drain the target, or its sidecar stops. */
export class DrainState {
  #drainedByOperator = false;
  #stopping = false;

  get isDraining(): boolean {
    return this.#drainedByOperator || this.#stopping;
  }

  /** Returns whether draining begins with this change. */
  changeByOperator(drained: boolean): boolean {
    const before = this.isDraining;
    this.#drainedByOperator = drained;
    return !before && this.isDraining;
  }

  /** Returns whether draining begins with this stop, which is for good. */
  beginStop(): boolean {
    const before = this.isDraining;
    this.#stopping = true;
    return !before;
  }
}
