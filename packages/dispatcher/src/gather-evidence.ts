/** Fences a job at every sidecar run that may have started its tasks, and collects their evidence. */
import type { RosterFeed } from '@cranberryturn/membership';
import type {
  ClaimGranted,
  JobId,
  Milliseconds,
  TargetIdentity,
} from '@cranberryturn/types';

import type { WitnessReport } from './assemble-adoption-plan.js';
import type { TargetDirectory } from './target-directory.js';

/** Inputs of the collection. */
export interface GatherEvidenceOptions {
  readonly jobId: JobId;
  readonly grant: ClaimGranted;
  readonly targets: TargetDirectory;
  readonly roster: RosterFeed;
  /** Maximum time to wait for a witness that does not reply. */
  readonly timeoutMilliseconds: Milliseconds;
}

/**
 * Fences the job at each witness and resolves with one report per witness. The report of a
 * witness that left the roster without a session here, or did not reply in time, has no evidence.
 */
export function gatherEvidence(
  options: GatherEvidenceOptions,
): Promise<readonly WitnessReport[]> {
  return Promise.all(
    options.grant.witnesses.map(witness => askWitness(options, witness)),
  );
}

async function askWitness(
  options: GatherEvidenceOptions,
  witness: TargetIdentity,
): Promise<WitnessReport> {
  const { jobId, grant, targets, roster, timeoutMilliseconds } = options;
  if (hasLeftRoster(roster, witness) && !targets.isConnected(witness)) {
    return { witness, evidence: undefined };
  }
  const evidence = await targets.fenceJob(
    witness,
    jobId,
    grant.epoch,
    timeoutMilliseconds,
  );
  return { witness, evidence };
}

function hasLeftRoster(roster: RosterFeed, witness: TargetIdentity): boolean {
  return !roster
    .current()
    .targets.some(
      one =>
        one.targetId === witness.targetId &&
        one.incarnation === witness.incarnation,
    );
}
