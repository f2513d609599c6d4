import type { JsonText } from './identifiers.js';

/**
 * A whole configuration that an operator published under a version of their own.
 * The highest version is in force; the document is kept as it was sent.
 */
export interface Publication {
  /** Raised by the operator with each change, by any step; 0 before the first. */
  readonly version: number;
  readonly document: JsonText;
}

/** Nothing was published yet. */
export const noPublication: Publication = { version: 0, document: 'null' };
