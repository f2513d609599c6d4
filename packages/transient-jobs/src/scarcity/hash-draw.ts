/** Draws from job identifiers, so that every dispatcher draws the same number for a job. */

const offsetBasis = 0x81_1c_9d_c5;
const prime = 0x01_00_01_93;
const steps = 0x1_0000_0000;

/** Returns a number from 0 (inclusive) to 1 (exclusive) that depends only on the text (FNV-1a with a final mix). */
export function drawFromHash(text: string): number {
  let hash = offsetBasis;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), prime);
  }
  // FNV-1a alone changes the upper bits little when only the last characters differ.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85_eb_ca_6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2_b2_ae_35);
  return ((hash ^ (hash >>> 16)) >>> 0) / steps;
}
