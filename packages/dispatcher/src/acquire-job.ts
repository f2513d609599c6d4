/** Gains the ownership of a job, or the result from the dispatcher that owns it. */
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
/** Silence after which an owner is presumed dead. */
const ownerTimeoutMilliseconds: Milliseconds = 1_000;

/** What is needed to own a job. */
export interface AcquireJobOptions {
  readonly claim: ClaimRequest;
  /** Time of the timer service at which the caller gives up. */
  readonly deadline: Milliseconds;
  readonly control: ControlPort;
  readonly links: DispatcherLinks;
  readonly timers: TimerService;
}

/** How it ended. */
export enum OwnershipKind {
  /** No task was ever started: all of them may be placed. */
  Fresh = 'fresh',
  /** Tasks may have been started by an earlier owner. */
  Adopted = 'adopted',
  /** Another dispatcher owns the job and gave its result. */
  Joined = 'joined',
  Conflict = 'conflict',
  /** The claim was refused for good. */
  Refused = 'refused',
  /** Another dispatcher owned the job and gave no result: it may have been started. */
  Indeterminate = 'elsewhere',
  /** The claim has no outcome; nothing was started for this submission. */
  Unavailable = 'unavailable',
}

/** How it ended. */
export type Ownership =
  | { readonly kind: OwnershipKind.Fresh; readonly grant: ClaimGranted }
  | { readonly kind: OwnershipKind.Adopted; readonly grant: ClaimGranted }
  | { readonly kind: OwnershipKind.Joined; readonly result: JobResult }
  | { readonly kind: OwnershipKind.Conflict }
  | { readonly kind: OwnershipKind.Refused; readonly reason: ClaimRefusal }
  | { readonly kind: OwnershipKind.Indeterminate; readonly reason: string }
  | { readonly kind: OwnershipKind.Unavailable; readonly reason: string };

/** Claims a job; joins its live owner, or adopts it from an owner that is gone. Ends by the deadline. */
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

/** What is known of a job while its ownership is sought. */
interface AcquisitionState {
  /** Another dispatcher that owned the job and may have started it. */
  owner: string | undefined;
}

/** A claim that is granted later is not used: this submission starts nothing any more. */
function composeTimeout({ owner }: AcquisitionState): Ownership {
  if (owner !== undefined) {
    return composeIndeterminate(`Its owner ${owner} did not answer in time.`);
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
    const step = await joinOwner(options, outcome.value);
    if (step.joinedResult !== undefined) {
      return { kind: OwnershipKind.Joined, result: step.joinedResult };
    }
    if (options.timers.now() >= options.deadline) return composeTimeout(state);
    outcome = await claims.adoptJob({
      ...options.claim,
      expectedEpoch: step.epoch,
    });
  }
  return composeIndeterminate('Other dispatchers keep adopting this job.');
}

/** The owner of a job that is not granted, or this dispatcher for an earlier submission. */
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

/** A grant to an earlier submission of this run must be adopted first. */
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

/** Resolves with undefined when the owner does not know the job or gives no sign of life. */
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
