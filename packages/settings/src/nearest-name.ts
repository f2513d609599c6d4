/** Finds the known name that a mistyped name was most likely meant to be. */
const maximumEditDistance = 4;

/** The known name nearest to `name`; undefined when none is near. */
export function findNearestName(
  name: string,
  knownNames: readonly string[],
): string | undefined {
  const limit = Math.min(maximumEditDistance, Math.ceil(name.length / 2));
  const ranked = knownNames
    .map(candidate => ({
      candidate,
      distance: computeEditDistance(name, candidate),
    }))
    .filter(({ distance }) => distance <= limit)
    .sort((left, right) => left.distance - right.distance);
  return ranked[0]?.candidate;
}

/** Number of inserted, removed and replaced letters between two names, without regard to case. */
function computeEditDistance(firstName: string, secondName: string): number {
  const firstText = firstName.toLowerCase();
  const secondText = secondName.toLowerCase();
  let previous = Array.from(
    { length: secondText.length + 1 },
    (_, index) => index,
  );
  for (let row = 1; row <= firstText.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= secondText.length; column += 1) {
      const substitutionCost =
        firstText[row - 1] === secondText[column - 1] ? 0 : 1;
      current.push(
        Math.min(
          (previous[column] ?? 0) + 1,
          (current[column - 1] ?? 0) + 1,
          (previous[column - 1] ?? 0) + substitutionCost,
        ),
      );
    }
    previous = current;
  }
  return previous[secondText.length] ?? 0;
}
