/** Model-based test: checks the invariants of the log under random sequences of operations. */
import fc from 'fast-check';

import { arbitraryOperations, type Operation } from './operations.js';
import { ModelBeginning, runOperations } from './run-operations.js';

const maximumOperations = 24;
const maximumSeed = 0x7fff_ffff;

/** Parameters of a check. */
export interface ModelCheck {
  readonly runs: number;
  readonly seed: number;
  readonly replicas: number;
  readonly beginning?: ModelBeginning;
  /** Whether to search for a shorter failing sequence after a failure. May take minutes. */
  readonly shouldShrink: boolean;
}

/** Result of a check. */
export interface ModelReport {
  readonly hasFailed: boolean;
  /** Seed and, after a failure, the violations and the shortest failing sequence found. */
  readonly text: string;
}

/** Runs random sequences. The result is deterministic for the same parameters. */
export async function checkModel(check: ModelCheck): Promise<ModelReport> {
  const { runs, seed, replicas, beginning = ModelBeginning.Group } = check;
  const property = fc.asyncProperty(
    fc.integer({ min: 0, max: maximumSeed }),
    arbitraryOperations(maximumOperations, beginning === ModelBeginning.Seeds),
    async (runSeed, operations) => {
      const violations = await runOperations(
        { replicas, seed: runSeed, beginning },
        operations,
      );
      if (violations.length > 0) throw new Error(violations.join('; '));
    },
  );
  const details = await fc.check(property, {
    seed,
    numRuns: runs,
    endOnFailure: !check.shouldShrink,
  });
  const size = `${String(replicas)} replicas, seed ${String(seed)}`;
  if (!details.failed) {
    return { hasFailed: false, text: `${size}: ${String(runs)} runs passed` };
  }
  const failure =
    details.errorInstance instanceof Error
      ? details.errorInstance.message
      : String(details.errorInstance);
  const [runSeed, operations] = details.counterexample ?? [0, []];
  return {
    hasFailed: true,
    text: [
      `${size}: run ${String(details.numRuns)} failed: ${failure}`,
      `sequence with run seed ${String(runSeed)}:`,
      ...operations.map(describeOperation),
    ].join('\n'),
  };
}

function describeOperation(operation: Operation): string {
  const { kind, host, other, amount } = operation;
  return `  ${kind} host ${String(host)} other ${String(other)} amount ${String(amount)}`;
}
