/**
 * Measures how fast a configuration change reaches many followers, how fast a late one catches up,
 * and the cost of each. Followers are dispatcher clients that watch control.
 */
import { type ControlClient } from '@cranberryturn/control-client';
import { sleep } from '@cranberryturn/timers';
import { IntentKind, type Milliseconds } from '@cranberryturn/types';

import {
  AdministrationMethod,
  type AdministrationReply,
  AdministrationReplyKind,
} from '../administration-calls.js';
import { planChange } from '../plan-change.js';
import {
  type MeasuredControl,
  startMeasuredControl,
} from './start-measured-control.js';

const pollIntervalMilliseconds: Milliseconds = 1;
const settleTimeMilliseconds: Milliseconds = 3_000;
const microsecondsPerMillisecond = 1_000;

/** Propagation time and cost of configuration changes, with all followers in this process. */
export interface FollowersReading {
  readonly followers: number;
  /** For each change, time from the confirm until the last follower has the change in force. */
  readonly slowestMilliseconds: readonly Milliseconds[];
  /** Frames and bytes per follower and change, in both directions. */
  readonly framesPerFollowerAndChange: number;
  readonly bytesPerFollowerAndChange: number;
  /** Processor time per follower and change, control and client together. */
  readonly processorMillisecondsPerFollowerAndChange: number;
  /** Bytes and processor time per follower and second without changes. */
  readonly bytesPerFollowerAndSecond: number;
  readonly processorMillisecondsPerFollowerAndSecond: number;
}

/** Catch-up of a follower that missed many changes. */
export interface CatchUpReading {
  readonly changes: number;
  /** Time from the first dial until the latest version is in force. */
  readonly milliseconds: Milliseconds;
  readonly bytes: number;
}

/** Connects the followers, then confirms the changes one after the other. */
export async function measureFollowers(options: {
  readonly folder: string;
  readonly followers: number;
  readonly changes: number;
}): Promise<FollowersReading> {
  const control = await startMeasuredControl({ ...options, syncDelay: 0 });
  const { timers, traffic } = control;
  const clients = Array.from({ length: options.followers }, (_, number) =>
    control.connect(`d${String(number)}`),
  );
  await waitForVersion(control, clients);
  await sleep(timers, settleTimeMilliseconds);
  const idleCost = await measureCost(control, () =>
    sleep(timers, settleTimeMilliseconds),
  );
  const slowest: Milliseconds[] = [];
  const before = { ...traffic };
  const usage = process.cpuUsage();
  for (let number = 0; number < options.changes; number += 1) {
    const startedAt = timers.now();
    await makeChange(control, number);
    await waitForVersion(control, clients);
    slowest.push(timers.now() - startedAt);
  }
  const consumed = process.cpuUsage(usage);
  const followerChanges = options.followers * options.changes;
  const followerSeconds = options.followers * (settleTimeMilliseconds / 1_000);
  await Promise.all(clients.map(client => client.stop()));
  await control.stop();
  return {
    followers: options.followers,
    slowestMilliseconds: slowest,
    framesPerFollowerAndChange:
      (traffic.frames - before.frames) / followerChanges,
    bytesPerFollowerAndChange: (traffic.bytes - before.bytes) / followerChanges,
    processorMillisecondsPerFollowerAndChange:
      (consumed.user + consumed.system) /
      microsecondsPerMillisecond /
      followerChanges,
    bytesPerFollowerAndSecond: idleCost.bytes / followerSeconds,
    processorMillisecondsPerFollowerAndSecond:
      idleCost.processor / followerSeconds,
  };
}

/** Confirms changes without any follower, then connects one that has no configuration yet. */
export async function measureCatchUp(options: {
  readonly folder: string;
  readonly changes: number;
}): Promise<CatchUpReading> {
  const control = await startMeasuredControl({ ...options, syncDelay: 0 });
  const { timers, traffic } = control;
  for (let number = 0; number < options.changes; number += 1) {
    await makeChange(control, number);
  }
  const before = traffic.bytes;
  const startedAt = timers.now();
  const lateFollower = control.connect('late');
  await waitForVersion(control, [lateFollower]);
  const milliseconds = timers.now() - startedAt;
  const bytes = traffic.bytes - before;
  await lateFollower.stop();
  await control.stop();
  return { changes: options.changes, milliseconds, bytes };
}

async function measureCost(
  { traffic }: MeasuredControl,
  work: () => Promise<void>,
): Promise<{ bytes: number; processor: Milliseconds }> {
  const before = traffic.bytes;
  const usage = process.cpuUsage();
  await work();
  const { user, system } = process.cpuUsage(usage);
  return {
    bytes: traffic.bytes - before,
    processor: (user + system) / microsecondsPerMillisecond,
  };
}

async function makeChange(
  { node }: MeasuredControl,
  number: number,
): Promise<void> {
  const plan = planChange(node.state, {
    kind: IntentKind.SetQuota,
    team: { team: `team-${String(number)}`, weight: 1 },
  });
  if (plan.isErr()) throw plan.error;
  const reply: AdministrationReply = await node.administer({
    method: AdministrationMethod.Confirm,
    request: {
      planId: plan.value.planId,
      requestId: `request-${String(number)}`,
      operator: 'bench',
    },
  });
  if (reply.kind !== AdministrationReplyKind.Done) {
    throw new Error(reply.refusal.error);
  }
}

async function waitForVersion(
  { node, timers }: MeasuredControl,
  clients: readonly ControlClient[],
): Promise<void> {
  const { version } = node.state.configuration.configuration;
  while (
    clients.some(client => client.configuration.current().version < version)
  ) {
    await sleep(timers, pollIntervalMilliseconds);
  }
}
