/** Limits retries to a share of the first attempts of a service. */

/** Retries that a service may spend. Hedges are paid from it as well. */
export interface RetryBudget {
  /** A first attempt was sent. */
  earn(): void;
  /** Takes one retry from the budget; false when it is spent. */
  trySpend(): boolean;
  /** Changes the number of retries for each hundred first attempts. */
  changePercent(percent: number): void;
}

const largestSavings = 10;

/** Creates a budget that may save up to ten retries, and starts with them. */
export function createRetryBudget(initialPercent: number): RetryBudget {
  let percent = initialPercent;
  let savings = percent > 0 ? largestSavings : 0;
  return {
    earn: () => {
      savings = Math.min(largestSavings, savings + percent / 100);
    },
    trySpend: () => {
      if (percent <= 0 || savings < 1) return false;
      savings -= 1;
      return true;
    },
    changePercent: changed => {
      if (changed <= 0) savings = 0;
      if (percent <= 0 && changed > 0) savings = largestSavings;
      percent = changed;
    },
  };
}
