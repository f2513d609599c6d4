/** The sidecar beside each target: starts each task at most once. */
export {};
