/** Chooses the target of each task and watches target health. */
export {};
