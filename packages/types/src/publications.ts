/** Configurations that operators publish as whole documents. */
import type { JsonText } from './identifiers.js';

/**
 * A whole configuration that an operator published under a version of their own choice.
 * The highest version is in force. The document is stored unchanged.
 */
export interface Publication {
  /** Raised by the operator with each change, by any amount; 0 before the first publication. */
  readonly version: number;
  readonly document: JsonText;
}

/** Stands for the state before the first publication. */
export const noPublication: Publication = { version: 0, document: 'null' };
