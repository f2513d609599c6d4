/** Acquires the ownership of a job, or its result from the dispatcher that owns it. */
import type { TimerService } from '@cranberryturn/timers';
import {
  type ClaimGranted,
  type ClaimHeld,
  type ClaimOutcome,
  ClaimOutcomeKind,
  type ClaimRefusal,
  type ClaimRequest,
  type JobResult,
  type Milliseconds,
  type OwnershipEpoch,
} from '@cranberryturn/types';
import { DispatcherMethod, DispatcherReplyKind } from '@cranberryturn/wire';

import type { DispatcherLinks } from './dispatcher-links.js';
import type { ControlPort } from './ports/control.js';

const maximumRounds = 5;
const joinWaitMilliseconds: Milliseconds = 1_000;
/** Time without a reply, beyond the requested wait, after which an owner is presumed dead. */
export const ownerTimeoutMilliseconds: Milliseconds = 1_000;

/** Inputs of one acquisition. */
export interface AcquireJobOptions {
  readonly claim: ClaimRequest;
  /** Deadline of the job, as a time of the timer service. */
  readonly deadline: Milliseconds;
  readonly control: ControlPort;
  readonly links: DispatcherLinks;
  readonly timers: TimerService;
}

/** Outcome of an acquisition. */
export enum OwnershipKind {
  /** First claim of the job: no task was started, so every task may be placed. */
  Fresh = 'fresh',
  /** Granted after an earlier claim, whose owner may have started tasks. */
  Adopted = 'adopted',
  /** Another dispatcher owns the job and returned its result. */
  Joined = 'joined',
  /** The job identifier is claimed for another body. */
  Conflict = 'conflict',
  /** Control refused the claim. */
  Refused = 'refused',
  /** An earlier claim exists and its owner returned no result, so tasks may have been started. */
  Indeterminate = 'elsewhere',
  /** Control returned no outcome; this submission started nothing. */
  Unavailable = 'unavailable',
}

/** Outcome of an acquisition, with the data of each kind. */
export type Ownership =
  | { readonly kind: OwnershipKind.Fresh; readonly grant: ClaimGranted }
  | { readonly kind: OwnershipKind.Adopted; readonly grant: ClaimGranted }
  | { readonly kind: OwnershipKind.Joined; readonly result: JobResult }
  | { readonly kind: OwnershipKind.Conflict }
  | { readonly kind: OwnershipKind.Refused; readonly reason: ClaimRefusal }
  | { readonly kind: OwnershipKind.Indeterminate; readonly reason: string }
  | { readonly kind: OwnershipKind.Unavailable; readonly reason: string };

/**
 * Claims a job. When another dispatcher holds the claim, waits for the result of a
 * live owner or adopts the job from a dead one. Resolves by the deadline.
 */
export function acquireJob(options: AcquireJobOptions): Promise<Ownership> {
  const { timers, deadline } = options;
  const state: AcquisitionState = { owner: undefined };
  const remainingMilliseconds = Math.max(0, deadline - timers.now());
  return new Promise(resolve => {
    const timer = timers.after(remainingMilliseconds, () => {
      resolve(composeTimeout(state));
    });
    void claimOrAdopt(options, state).then(ownership => {
      timer.cancel();
      resolve(ownership);
    });
  });
}

/** State of an acquisition, read when the deadline passes first. */
interface AcquisitionState {
  /** Latest known owner of an earlier claim, which may have started tasks. */
  owner: string | undefined;
}

/** A grant that arrives after the deadline is ignored: this submission starts nothing. */
function composeTimeout({ owner }: AcquisitionState): Ownership {
  if (owner !== undefined) {
    return composeIndeterminate(
      `Owner ${owner} did not return the result before the deadline.`,
    );
  }
  return {
    kind: OwnershipKind.Unavailable,
    reason: 'Control did not grant the claim before the deadline.',
  };
}

async function claimOrAdopt(
  options: AcquireJobOptions,
  state: AcquisitionState,
): Promise<Ownership> {
  const { claims } = options.control;
  let outcome = await claims.claimJob(options.claim);
  if (outcome.isErr()) {
    return { kind: OwnershipKind.Unavailable, reason: outcome.error.message };
  }
  for (let round = 0; round < maximumRounds; round += 1) {
    if (outcome.isErr()) return composeIndeterminate(outcome.error.message);
    const settled = resolveOutcome(options, outcome.value);
    if (settled !== undefined) return settled;
    state.owner = findOwnerId(options, outcome.value);
    const attempt = await joinOwner(options, outcome.value);
    if (attempt.joinedResult !== undefined) {
      return { kind: OwnershipKind.Joined, result: attempt.joinedResult };
    }
    if (options.timers.now() >= options.deadline) return composeTimeout(state);
    outcome = await claims.adoptJob({
      ...options.claim,
      expectedEpoch: attempt.epoch,
    });
  }
  return composeIndeterminate('Other dispatchers adopted the job repeatedly.');
}

/** The owner that holds the claim, or this dispatcher when an earlier submission holds it. */
function findOwnerId(
  { claim }: AcquireJobOptions,
  outcome: ClaimOutcome,
): string {
  if (outcome.kind !== ClaimOutcomeKind.Held) return claim.owner.dispatcherId;
  return outcome.owner.dispatcherId;
}

function resolveOutcome(
  { claim }: AcquireJobOptions,
  outcome: ClaimOutcome,
): Ownership | undefined {
  switch (outcome.kind) {
    case ClaimOutcomeKind.Granted:
      return resolveGrant(outcome, claim.submissionId);
    case ClaimOutcomeKind.Conflict:
      return { kind: OwnershipKind.Conflict };
    case ClaimOutcomeKind.Refused:
      return { kind: OwnershipKind.Refused, reason: outcome.reason };
    case ClaimOutcomeKind.Held:
      return undefined;
  }
}

/** A grant to an earlier submission of this run yields undefined: the job must be adopted first. */
function resolveGrant(
  grant: ClaimGranted,
  submissionId: string,
): Ownership | undefined {
  if (grant.submissionId !== submissionId) return undefined;
  return grant.epoch === 1
    ? { kind: OwnershipKind.Fresh, grant }
    : { kind: OwnershipKind.Adopted, grant };
}

interface JoinAttempt {
  readonly joinedResult: JobResult | undefined;
  readonly epoch: OwnershipEpoch;
}

async function joinOwner(
  options: AcquireJobOptions,
  outcome: ClaimOutcome,
): Promise<JoinAttempt> {
  if (outcome.kind !== ClaimOutcomeKind.Held) {
    return { joinedResult: undefined, epoch: (outcome as ClaimGranted).epoch };
  }
  return {
    joinedResult: await waitForOwnerResult(options, outcome),
    epoch: outcome.epoch,
  };
}

/** Resolves with undefined when the owner does not know the job, cannot be reached, or the deadline has passed. */
async function waitForOwnerResult(
  { claim, links, deadline, timers }: AcquireJobOptions,
  held: ClaimHeld,
): Promise<JobResult | undefined> {
  if (held.ownerAddress === undefined) return undefined;
  while (timers.now() < deadline) {
    const reply = await links.call(
      held.ownerAddress,
      {
        method: DispatcherMethod.JoinJob,
        team: claim.team,
        jobId: claim.jobId,
        digest: claim.digest,
        waitMilliseconds: joinWaitMilliseconds,
      },
      joinWaitMilliseconds + ownerTimeoutMilliseconds,
    );
    if (reply.isErr()) return undefined;
    switch (reply.value.kind) {
      case DispatcherReplyKind.Result:
        return reply.value.result;
      case DispatcherReplyKind.NotOwner:
      case DispatcherReplyKind.Shares:
      case DispatcherReplyKind.Invited:
        return undefined;
      case DispatcherReplyKind.Running:
        break;
    }
  }
  return undefined;
}

function composeIndeterminate(reason: string): Ownership {
  return { kind: OwnershipKind.Indeterminate, reason };
}
