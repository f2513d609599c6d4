/** Counts the messages between our processes, and those that did no useful work. */
import { WastedMessage } from '@cranberryturn/metrics';
import type { SessionCounts } from '@cranberryturn/sessions';
import { DecisionKind } from '@cranberryturn/types';
import { ProcessRole } from '@cranberryturn/wire';

import type { BenchSystem } from '../system/start-bench-system.js';

/** Messages sent so far. */
export interface MessageReading {
  readonly framesByRole: Readonly<Record<ProcessRole, number>>;
  readonly bytes: number;
  readonly wasted: Readonly<Record<WastedMessage, number>>;
}

/** Messages of one load. */
export interface MessageSummary {
  readonly frames: number;
  readonly bytes: number;
  readonly framesByRole: Readonly<Record<ProcessRole, number>>;
  readonly perTask: number;
  /** Wasted frames by kind; kinds without any are left out. */
  readonly wasted: Readonly<Partial<Record<WastedMessage, number>>>;
  /** Wasted frames as a share of all. */
  readonly wastedShare: number;
  /** Wasted frames other than heartbeats as a share of all. */
  readonly wastedShareWithoutHeartbeats: number;
}

/** Reads the messages sent so far. */
export function readMessages(system: BenchSystem): MessageReading {
  const roles = Object.values(ProcessRole);
  const framesByRole = Object.fromEntries(
    roles.map(role => [role, system.getSentTraffic(role).frames]),
  ) as Record<ProcessRole, number>;
  const bytes = sum(roles.map(role => system.getSentTraffic(role).bytes));
  return { framesByRole, bytes, wasted: countWasted(system) };
}

/** Relates the messages between two readings to the tasks done. */
export function compareMessages(
  before: MessageReading,
  after: MessageReading,
  tasks: number,
): MessageSummary {
  const framesByRole = subtract(before.framesByRole, after.framesByRole);
  const frames = sum(Object.values(framesByRole));
  const wasted = subtract(before.wasted, after.wasted);
  const wastedFrames = sum(Object.values(wasted));
  const heartbeats = wasted[WastedMessage.Heartbeat];
  return {
    frames,
    bytes: after.bytes - before.bytes,
    framesByRole,
    perTask: frames / tasks,
    wasted: Object.fromEntries(
      Object.entries(wasted).filter(([, count]) => count > 0),
    ),
    wastedShare: wastedFrames / frames,
    wastedShareWithoutHeartbeats: (wastedFrames - heartbeats) / frames,
  };
}

function countWasted(system: BenchSystem): Record<WastedMessage, number> {
  const counted = Object.fromEntries(
    Object.values(WastedMessage).map(kind => [
      kind,
      sum(system.dispatchers.map(one => one.metrics.read().wasted[kind])),
    ]),
  ) as Record<WastedMessage, number>;
  const sessions = listSessionCounts(system);
  const observed: Partial<Record<WastedMessage, number>> = {
    [WastedMessage.Heartbeat]: sum(sessions.map(one => one.heartbeatsSent)),
    [WastedMessage.Retransmission]: sum(
      sessions.map(one => one.messagesResent),
    ),
    // A task placed again after a refused start is counted there.
    [WastedMessage.RetryAttempt]: Math.max(
      0,
      countRetries(system) - counted[WastedMessage.RefusedStart],
    ),
  };
  // A kind that a process counts itself may stand in both: the larger count holds.
  for (const kind of Object.values(WastedMessage)) {
    counted[kind] = Math.max(counted[kind], observed[kind] ?? 0);
  }
  return counted;
}

function countRetries(system: BenchSystem): number {
  return system.records.filter(record => record.kind === DecisionKind.Retried)
    .length;
}

function listSessionCounts(system: BenchSystem): readonly SessionCounts[] {
  return [
    ...system.dispatchers.flatMap(({ dispatcher }) =>
      dispatcher.targets.acceptor.sessions().map(one => one.counts),
    ),
    ...system.workers.flatMap(({ sidecar }) =>
      sidecar.sessions().map(one => one.counts),
    ),
  ].map(counts => ({ ...counts }));
}

function subtract<Name extends string>(
  before: Readonly<Record<Name, number>>,
  after: Readonly<Record<Name, number>>,
): Record<Name, number> {
  const names = Object.keys(after) as Name[];
  return Object.fromEntries(
    names.map(name => [name, after[name] - before[name]]),
  ) as Record<Name, number>;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, one) => total + one, 0);
}
