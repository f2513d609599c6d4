/** Limits retries to a percentage of the first attempts of a service. */

/** Retries that a service may spend; hedges are spent from the same budget. */
export interface RetryBudget {
  /** Earns a part of a retry for a first attempt that was sent. */
  recordFirstAttempt(): void;
  /** Spends one retry; false when none is left. */
  trySpendRetry(): boolean;
  /** Sets the number of retries for each hundred first attempts; 0 allows none. */
  setPercent(percent: number): void;
}

/** Maximum number of unspent retries; bounds bursts. */
const maximumSavedRetries = 10;

/** Creates a budget that starts with the maximum number of saved retries. */
export function createRetryBudget(initialPercent: number): RetryBudget {
  let percent = initialPercent;
  let savedRetries = percent > 0 ? maximumSavedRetries : 0;
  return {
    recordFirstAttempt: () => {
      savedRetries = Math.min(
        maximumSavedRetries,
        savedRetries + percent / 100,
      );
    },
    trySpendRetry: () => {
      if (percent <= 0 || savedRetries < 1) return false;
      savedRetries -= 1;
      return true;
    },
    setPercent: changed => {
      if (changed <= 0) savedRetries = 0;
      if (percent <= 0 && changed > 0) savedRetries = maximumSavedRetries;
      percent = changed;
    },
  };
}
