/** Counterpart of measured replicas: a control client with a number of concurrent claims. */
import type { ControlClient } from '@cranberryturn/control-client';
import { createSystemTimerService } from '@cranberryturn/timers';
import { ClaimOutcomeKind } from '@cranberryturn/types';

import { countClaims } from '../parts/claim-load.js';
import {
  measuredService,
  createDispatcherIdentity,
} from '../parts/identities.js';
import { concurrentReplicatedClaims } from './measured-replicas.js';
import { startFollower } from '../parts/start-follower.js';
import {
  noTraffic,
  type ScenarioInput,
  type ScenarioSide,
} from '../scenario.js';

/** Starts a client with a fixed number of concurrent claims, whatever the number of replicas (`size`). */
export function startReplicatedClaims(
  input: ScenarioInput,
): Promise<ScenarioSide> {
  return startManyClaims({ ...input, size: concurrentReplicatedClaims });
}

/** Starts a client with `size` concurrent claims. */
export function startManyClaims({
  size,
  seed,
  peers,
}: ScenarioInput): Promise<ScenarioSide> {
  const client = startFollower(0, peers, createSystemTimerService(), seed);
  return Promise.resolve({
    addresses: [],
    ready: () => Promise.resolve(),
    work: async () => {
      const claims = countClaims(size);
      await Promise.all(
        Array.from({ length: size }, (_, first) =>
          claimJobs(client, first, size, claims),
        ),
      );
      return claims;
    },
    traffic: () => noTraffic,
  });
}

async function claimJobs(
  client: ControlClient,
  first: number,
  step: number,
  claims: number,
): Promise<void> {
  const { name, incarnation } = createDispatcherIdentity(0);
  for (let number = first; number < claims; number += step) {
    const outcome = await client.claims.claimJob({
      team: 'measured-team',
      jobId: `measured-team/job-${String(number)}`,
      service: measuredService,
      digest: '0'.repeat(32),
      owner: { dispatcherId: name, incarnation },
      submissionId: `submission-${String(number)}`,
    });
    if (outcome.isErr()) throw outcome.error;
    if (outcome.value.kind !== ClaimOutcomeKind.Granted) {
      throw new Error(
        `Claim ${String(number)} was not granted; its outcome is ${outcome.value.kind}.`,
      );
    }
  }
}
