/** Limits retries to a share of the first attempts of a service. */

/** Retries that a service may spend. Hedges are paid from it as well. */
export interface RetryBudget {
  /** A first attempt was sent. */
  recordFirstAttempt(): void;
  /** Takes one retry from the budget; false when it is spent. */
  trySpendRetry(): boolean;
  /** Changes the number of retries for each hundred first attempts. */
  setPercent(percent: number): void;
}

const maximumSavedRetries = 10;

/** Creates a budget that may save up to ten retries, and starts with them. */
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
