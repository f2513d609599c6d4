/** Finds the known name most similar to a misspelled one. */
const maximumEditDistance = 4;

/**
 * Returns the known name with the smallest edit distance to `name`; undefined when every distance
 * exceeds four or half the length of `name`.
 */
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

/** Levenshtein distance between two names, ignoring case. */
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
