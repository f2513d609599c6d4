/** Histograms and counters served at /metrics. */
export {};
