/** Finds the known name that a mistyped name was most likely meant to be. */
const longestDistance = 4;

/** The known name nearest to `name`; undefined when none is near. */
export function findNearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  const limit = Math.min(longestDistance, Math.ceil(name.length / 2));
  const ranked = known
    .map(candidate => ({ candidate, distance: distanceOf(name, candidate) }))
    .filter(({ distance }) => distance <= limit)
    .sort((left, right) => left.distance - right.distance);
  return ranked[0]?.candidate;
}

/** Number of inserted, removed and replaced letters between two names, without regard to case. */
function distanceOf(left: string, right: string): number {
  const source = left.toLowerCase();
  const target = right.toLowerCase();
  let previous = Array.from({ length: target.length + 1 }, (_, index) => index);
  for (let row = 1; row <= source.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= target.length; column += 1) {
      const replaced = source[row - 1] === target[column - 1] ? 0 : 1;
      current.push(
        Math.min(
          (previous[column] ?? 0) + 1,
          (current[column - 1] ?? 0) + 1,
          (previous[column - 1] ?? 0) + replaced,
        ),
      );
    }
    previous = current;
  }
  return previous[target.length] ?? 0;
}
