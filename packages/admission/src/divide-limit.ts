/** Division of limits into whole units. */

/**
 * Divides `limit` whole units by demand, with max-min fairness: nobody gets less than the smaller of its demand
 * and an equal part, and units without demand are distributed evenly. The parts add up to `limit`.
 */
export function divideLimit(
  limit: number,
  demands: readonly number[],
): readonly number[] {
  if (demands.length === 0) return [];
  const shares = demands.map(() => 0);
  let remaining = Math.max(0, Math.floor(limit));
  let unsatisfied = orderByDemand(demands);
  while (unsatisfied.length > 0) {
    const equalUnits = Math.floor(remaining / unsatisfied.length);
    const position = unsatisfied[0] ?? 0;
    const demand = Math.ceil(Math.max(0, demands[position] ?? 0));
    if (demand > equalUnits) break;
    shares[position] = demand;
    remaining -= demand;
    unsatisfied = unsatisfied.slice(1);
  }
  const receivers =
    unsatisfied.length > 0 ? unsatisfied : demands.map((_, at) => at);
  distributeEvenly(shares, receivers, remaining);
  return shares;
}

/** Returns the part at `position` when a limit is divided into `parts` whole parts that differ by at most 1. */
export function computeEqualPart(
  limit: number,
  parts: number,
  position: number,
): number {
  if (parts <= 0) return 0;
  const minimumPart = Math.floor(limit / parts);
  return position < limit % parts ? minimumPart + 1 : minimumPart;
}

function orderByDemand(demands: readonly number[]): readonly number[] {
  return demands
    .map((_, position) => position)
    .sort((left, right) => (demands[left] ?? 0) - (demands[right] ?? 0));
}

function distributeEvenly(
  shares: number[],
  receivers: readonly number[],
  units: number,
): void {
  receivers.forEach((receiver, position) => {
    const part = computeEqualPart(units, receivers.length, position);
    shares[receiver] = (shares[receiver] ?? 0) + part;
  });
}
