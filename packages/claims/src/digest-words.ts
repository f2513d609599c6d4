/** Digests of texts as words of 32 bits. */
import { hash } from 'node:crypto';

import type { JobId, TeamName } from '@cranberryturn/types';

import type { Digest } from './record-index.js';

const digitsPerWord = 8;
const bytesPerWord = 4;
const keyDigestWords = 4;
const keySeparator = '\u0000';
const hexadecimalDigits = /^[0-9a-f]{32,}$/;

/** Names a job among all teams. */
export function digestJob(team: TeamName, jobId: JobId): Digest {
  const text = `${team}${keySeparator}${jobId}`;
  return readWords(hash('sha256', text, 'buffer'), keyDigestWords);
}

/** Takes the first bits of a digest or random identifier; other texts are digested first. */
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
