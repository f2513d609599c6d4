/** Counts the messages between the processes, and the wasted ones among them. */
import { WastedMessage } from '@cranberryturn/metrics';
import type { SessionCounts } from '@cranberryturn/sessions';
import { DecisionKind } from '@cranberryturn/types';
import { ProcessRole } from '@cranberryturn/wire';

import { sum } from '../results/statistics.js';
import type { BenchSystem } from '../system/start-bench-system.js';

/** Counters of sent messages since the start of the system. */
export interface MessageReading {
  readonly framesByRole: Readonly<Record<ProcessRole, number>>;
  readonly bytes: number;
  readonly wasted: Readonly<Record<WastedMessage, number>>;
}

/** Messages sent during one load, as saved in result files. */
export interface MessageSummary {
  readonly frames: number;
  readonly bytes: number;
  readonly framesByRole: Readonly<Record<ProcessRole, number>>;
  readonly perTask: number;
  /** Wasted frames by kind; kinds without any are omitted. */
  readonly wasted: Readonly<Partial<Record<WastedMessage, number>>>;
  /** Wasted frames as a fraction of all frames. */
  readonly wastedShare: number;
  /** Wasted frames other than heartbeats as a fraction of all frames. */
  readonly wastedShareWithoutHeartbeats: number;
}

/** Reads the counters of all processes. */
export function readMessages(system: BenchSystem): MessageReading {
  const roles = Object.values(ProcessRole);
  const framesByRole = Object.fromEntries(
    roles.map(role => [role, system.getSentTraffic(role).frames]),
  ) as Record<ProcessRole, number>;
  const bytes = sum(roles.map(role => system.getSentTraffic(role).bytes));
  return { framesByRole, bytes, wasted: countWasted(system) };
}

/** Summarises the messages sent between two readings, relative to the number of tasks. */
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
    // Retries after a refused start already count as RefusedStart.
    [WastedMessage.RetryAttempt]: Math.max(
      0,
      countRetries(system) - counted[WastedMessage.RefusedStart],
    ),
  };
  // Some kinds are counted both by the metrics and here; the larger count is used.
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
