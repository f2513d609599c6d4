/** Calls the leader of control: follows redirects and retries on other hosts with backoff. */
import {
  type ConnectionError,
  TimeoutError,
  UnavailableError,
} from '@cranberryturn/errors';
import type { RandomSource } from '@cranberryturn/random';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type { Milliseconds, ReplicaId } from '@cranberryturn/types';
import {
  type ControlCall,
  type ControlReply,
  ControlReplyKind,
  isControlReply,
  type RemoteCalls,
} from '@cranberryturn/wire';
import { err, ok, type Result } from 'neverthrow';

import { computeBackoff } from './compute-backoff.js';
import type { ControlHost } from './control-host.js';

const attemptTimeoutMilliseconds: Milliseconds = 1_000;
const initialBackoffMilliseconds: Milliseconds = 10;
const maximumBackoffMilliseconds: Milliseconds = 500;

/** A reply that settles the call; other replies are retried. */
export type SettledReply = Extract<
  ControlReply,
  { readonly kind: ControlReplyKind.Claim | ControlReplyKind.Done }
>;

/** State and dependencies shared by the calls of one client. */
export interface LeaderCallContext {
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly hosts: () => readonly ControlHost[];
  /**
   * Timeout of one call with all its attempts; shorter while this process is cut off from control.
   */
  readonly chooseTimeout: () => Milliseconds;
  readonly isStopped: () => boolean;
  /** Last known leader; updated by replies, failures and notices. */
  leader: ReplicaId | undefined;
}

enum AttemptKind {
  Settled = 'settled',
  /** Another host leads and is connected; retried there without backoff. */
  Redirected = 'redirected',
  Failed = 'failed',
}

type Attempt =
  | { readonly kind: AttemptKind.Settled; readonly reply: SettledReply }
  | { readonly kind: AttemptKind.Redirected }
  | { readonly kind: AttemptKind.Failed; readonly mayHaveHappened: boolean };

/** Makes one idempotent call. After a `TimeoutError` the call may still take effect. */
export async function callLeader(
  context: LeaderCallContext,
  call: ControlCall,
): Promise<Result<SettledReply, UnavailableError | TimeoutError>> {
  const { timers, random } = context;
  const timeout = context.chooseTimeout();
  const expiresAt = timers.now() + timeout;
  let mayHaveHappened = false;
  let redirects = 0;
  let failures = 0;
  while (timers.now() < expiresAt && !context.isStopped()) {
    const host = chooseHost(context, failures);
    const attempt = await attemptCall(context, host, call, expiresAt);
    if (attempt.kind === AttemptKind.Settled) return ok(attempt.reply);
    if (attempt.kind === AttemptKind.Failed) {
      mayHaveHappened ||= attempt.mayHaveHappened;
    } else if (redirects < context.hosts().length) {
      redirects += 1;
      continue;
    }
    const backoff = computeBackoff(
      failures,
      initialBackoffMilliseconds,
      maximumBackoffMilliseconds,
    );
    failures += 1;
    redirects = 0;
    const remaining = Math.max(0, expiresAt - timers.now());
    await sleep(
      timers,
      Math.min(remaining, backoff * (0.5 + random.fraction() / 2)),
    );
  }
  return err(createFailure(call, timeout, mayHaveHappened));
}

function chooseHost(
  { hosts, leader }: LeaderCallContext,
  failures: number,
): RemoteCalls | undefined {
  const connected = hosts().flatMap(host => host.calls() ?? []);
  const leading = connected.find(
    calls => calls.connection.peer.name === leader,
  );
  return leading ?? connected[failures % Math.max(1, connected.length)];
}

async function attemptCall(
  context: LeaderCallContext,
  host: RemoteCalls | undefined,
  call: ControlCall,
  expiresAt: Milliseconds,
): Promise<Attempt> {
  if (host === undefined) {
    return { kind: AttemptKind.Failed, mayHaveHappened: false };
  }
  const startedAt = context.timers.now();
  const timeout = Math.min(attemptTimeoutMilliseconds, expiresAt - startedAt);
  const reply = await host.call<ControlReply>(call, timeout, isControlReply);
  if (reply.isErr()) {
    handleCallFailure(context, host, reply.error, startedAt);
    return { kind: AttemptKind.Failed, mayHaveHappened: true };
  }
  return interpretReply(context, host, reply.value);
}

/**
 * Forgets a leader that did not answer, and closes a connection without any frame since the call.
 */
function handleCallFailure(
  context: LeaderCallContext,
  host: RemoteCalls,
  error: ConnectionError | TimeoutError,
  startedAt: Milliseconds,
): void {
  if (context.leader === host.connection.peer.name) context.leader = undefined;
  if (error instanceof TimeoutError && host.lastReceived() <= startedAt) {
    host.connection.close();
  }
}

function interpretReply(
  context: LeaderCallContext,
  host: RemoteCalls,
  reply: ControlReply,
): Attempt {
  switch (reply.kind) {
    case ControlReplyKind.Claim:
    case ControlReplyKind.Done:
      context.leader = host.connection.peer.name;
      return { kind: AttemptKind.Settled, reply };
    case ControlReplyKind.NotLeader: {
      const otherLeader = reply.leader;
      const hasOtherLeader =
        otherLeader !== undefined && otherLeader !== host.connection.peer.name;
      context.leader = hasOtherLeader ? otherLeader : undefined;
      return hasOtherLeader && isConnected(context, otherLeader)
        ? { kind: AttemptKind.Redirected }
        : { kind: AttemptKind.Failed, mayHaveHappened: false };
    }
    case ControlReplyKind.Unknown:
      return { kind: AttemptKind.Failed, mayHaveHappened: true };
  }
}

function isConnected(
  { hosts }: LeaderCallContext,
  replica: ReplicaId,
): boolean {
  return hosts().some(host => host.calls()?.connection.peer.name === replica);
}

function createFailure(
  call: ControlCall,
  timeout: Milliseconds,
  mayHaveHappened: boolean,
): UnavailableError | TimeoutError {
  const step = call.method;
  if (mayHaveHappened) {
    return new TimeoutError(
      `Control did not settle the call ${step} within ${String(timeout)} ms; it may still take effect. Retry the call.`,
      { step },
    );
  }
  return new UnavailableError(
    `No control host with a majority could be reached for the call ${step} within ${String(timeout)} ms; check the control hosts and the network.`,
    { step },
  );
}
