/** In-memory control for tests: grants every new claim immediately. */
import type { Dispatcher, DispatcherOptions } from '@cranberryturn/dispatcher';
import {
  type ClaimOutcome,
  ClaimOutcomeKind,
  type ClaimRequest,
  type ClusterConfiguration,
  emptyConfiguration,
  type LogIndex,
  type DispatcherRecord,
  type Roster,
  type TargetAnnouncement,
  type TargetRecord,
} from '@cranberryturn/types';
import { okAsync, type ResultAsync } from 'neverthrow';

/** The part of control that a dispatcher uses. */
export type ControlPort = DispatcherOptions['control'];

/** Re-exported for the users of this fake. */
export type { Dispatcher };

/** In-memory control, shared by the dispatchers of one test. */
export interface MemoryControl extends ControlPort {
  /** Returns the number of claims requested so far, adoptions included. */
  countClaimRequests(): number;
}

/** Creates an in-memory control. Its configuration never changes. */
export function createMemoryControl(
  configuration: ClusterConfiguration = emptyConfiguration,
): MemoryControl {
  const owners = new Map<string, ClaimRequest>();
  const rosterListeners = new Set<(roster: Roster) => void>();
  let dispatchers: readonly DispatcherRecord[] = [];
  let targets: readonly TargetRecord[] = [];
  let version: LogIndex = 1;
  let claimRequests = 0;

  const roster = (): Roster => ({ version, dispatchers, targets });

  const claim = (request: ClaimRequest): ClaimOutcome => {
    claimRequests += 1;
    const known = owners.get(request.jobId) ?? request;
    owners.set(request.jobId, known);
    if (known.digest !== request.digest) {
      return { kind: ClaimOutcomeKind.Conflict };
    }
    return {
      kind: ClaimOutcomeKind.Granted,
      epoch: 1,
      submissionId: known.submissionId,
      claimedAt: version,
      ageMilliseconds: 0,
      witnesses: [],
      rosterVersion: version,
      finished: false,
    };
  };

  const registerTarget = (
    target: TargetAnnouncement,
  ): ResultAsync<LogIndex, never> => {
    version += 1;
    targets = [...targets, { ...target, registeredAt: version }];
    for (const listener of rosterListeners) listener(roster());
    return okAsync(version);
  };

  return {
    claims: {
      claimJob: request => okAsync(claim(request)),
      adoptJob: request => okAsync(claim(request)),
      finishClaim: () => undefined,
    },
    configuration: {
      current: () => configuration,
      subscribe: () => () => undefined,
    },
    roster: {
      current: roster,
      subscribe: listener => {
        rosterListeners.add(listener);
        return () => void rosterListeners.delete(listener);
      },
    },
    registry: {
      registerDispatcher: dispatcher => {
        version += 1;
        dispatchers = [...dispatchers, dispatcher];
        for (const listener of rosterListeners) listener(roster());
        return okAsync(version);
      },
      retireDispatcher: () => okAsync(version),
      registerTarget,
      retireTarget: () => okAsync(version),
    },
    countClaimRequests: () => claimRequests,
  };
}
