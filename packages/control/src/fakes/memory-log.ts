/** A single-replica log in memory with fault injection. */
import {
  type LogEvent,
  LogEventKind,
  type LogStatus,
  LogUnavailableError,
  MemberRole,
  type ReplicatedLog,
  ReplicaRole,
  type StateMachine,
} from '@cranberryturn/replicated-log';
import type { TimerService } from '@cranberryturn/timers';
import type { LogIndex, ReplicaId } from '@cranberryturn/types';
import { errAsync, okAsync } from 'neverthrow';

/** The log and its fault switch. */
export interface MemoryLog<Outcome> extends ReplicatedLog<Outcome> {
  /** While false, every proposal is refused. */
  isLeading: boolean;
  /** Commands applied so far, oldest first. */
  readonly commands: readonly Uint8Array[];
}

/** Creates a log that commits and applies each proposal at once. */
export function createMemoryLog<Outcome>(options: {
  readonly replicaId: ReplicaId;
  readonly stateMachine: StateMachine<Outcome>;
  readonly timers: TimerService;
}): MemoryLog<Outcome> {
  const { replicaId, stateMachine, timers } = options;
  const commands: Uint8Array[] = [];
  const listeners = new Set<(event: LogEvent<Outcome>) => void>();
  let provedAt = timers.now();
  let lastIndex: LogIndex = 0;

  const refuseAsFollower = () =>
    errAsync(
      new LogUnavailableError(
        `${replicaId} does not lead.`,
        { step: 'propose' },
        false,
      ),
    );

  const log: MemoryLog<Outcome> = {
    isLeading: true,
    commands,
    propose: command => {
      if (!log.isLeading) return refuseAsFollower();
      commands.push(command);
      lastIndex += 1;
      const entry = {
        index: lastIndex,
        term: 1,
        leaderTime: timers.wallClock(),
        command,
      };
      const outcome = stateMachine.apply(entry);
      for (const listener of listeners) {
        listener({ kind: LogEventKind.Applied, entry, outcome });
      }
      return okAsync({ index: entry.index, outcome });
    },
    status: (): LogStatus => {
      if (log.isLeading) provedAt = timers.now();
      return {
        replicaId,
        role: log.isLeading ? ReplicaRole.Leader : ReplicaRole.Follower,
        term: 1,
        leader: log.isLeading ? replicaId : undefined,
        commitIndex: lastIndex,
        appliedIndex: lastIndex,
        lastIndex,
        snapshotIndex: 0,
        members: [{ replicaId, role: MemberRole.Voter, address: '' }],
        leadershipProvedAt: provedAt,
        stateProvedAt: provedAt,
      };
    },
    confirmLeadership: () =>
      log.isLeading
        ? okAsync({ readIndex: lastIndex, provedAt: timers.now() })
        : refuseAsFollower(),
    subscribe: listener => {
      listeners.add(listener);
      return { cancel: () => void listeners.delete(listener) };
    },
    changeMembers: () => okAsync(lastIndex),
    transferLeadership: () => refuseAsFollower(),
    handlePeerMessage: () =>
      Promise.reject(new Error('A log in memory has no peers.')),
    stop: () => {
      log.isLeading = false;
      return Promise.resolve();
    },
  };
  return log;
}
