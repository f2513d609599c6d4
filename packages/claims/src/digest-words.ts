/** Digests as 32-bit words. */
import { hash } from 'node:crypto';

import type { JobId, TeamName } from '@cranberryturn/types';

import type { Digest } from './record-index.js';

const digitsPerWord = 8;
const bytesPerWord = 4;
const keyDigestWords = 4;
const keySeparator = '\u0000';
const hexadecimalDigits = /^[0-9a-f]{32,}$/;

/** Returns the key of a job, unique across teams. */
export function digestJob(team: TeamName, jobId: JobId): Digest {
  const text = `${team}${keySeparator}${jobId}`;
  return readWords(hash('sha256', text, 'buffer'), keyDigestWords);
}

/** Truncates a hexadecimal digest or random identifier to `wordCount` words. Other texts are hashed first. */
export function digestText(text: string, wordCount: number): Uint32Array {
  const digits = text.replaceAll('-', '').toLowerCase();
  const isDigest = hexadecimalDigits.test(digits);
  const bytes = isDigest
    ? Buffer.from(digits.slice(0, wordCount * digitsPerWord), 'hex')
    : hash('sha256', text, 'buffer');
  return readWords(bytes, wordCount);
}

function readWords(bytes: Buffer, wordCount: number): Uint32Array {
  const result = new Uint32Array(wordCount);
  for (let word = 0; word < wordCount; word += 1) {
    result[word] = bytes.readUInt32LE(word * bytesPerWord);
  }
  return result;
}
