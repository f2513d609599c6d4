/** Rendezvous hashing: every process computes the same weight for a pair of names. */

const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;
const goldenRatioMultiplier = 0x9e3779b1;

/** FNV-1a over UTF-16 code units, with a finalizer so that similar names get unrelated hashes. */
export function hashName(name: string): number {
  let hash = fnvOffsetBasis;
  for (let position = 0; position < name.length; position += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(position), fnvPrime);
  }
  return mixBits(hash);
}

/** Weight of a pair of hashed names; a name prefers the partners with the highest weights. */
export function computeWeight(left: number, right: number): number {
  return mixBits((left + Math.imul(right, goldenRatioMultiplier)) | 0);
}

/** The 32-bit finalizer of MurmurHash3. */
function mixBits(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
