/** What all processes of a measured system share. */
import {
  createSharedKey,
  createToken,
  digestToken,
  parseSharedKeys,
  type SharedKeys,
} from '@cranberryturn/authentication';
import { createLogger, type Logger } from '@cranberryturn/logger';
import type { TimerService } from '@cranberryturn/timers';
import {
  type DecisionRecord,
  type DecisionSink,
  LogLevel,
  type TeamName,
} from '@cranberryturn/types';
import {
  createWebSocketNetwork,
  type Network,
  type PeerIdentity,
  type ProcessRole,
} from '@cranberryturn/wire';

import {
  type CountingNetwork,
  countSentFrames,
  type SentTraffic,
} from './count-sent-frames.js';

/** A team with its token. */
export interface BenchTeam {
  readonly team: TeamName;
  readonly token: string;
  readonly tokenDigests: readonly string[];
}

/** What all processes of a measured system share. */
export interface BenchContext {
  readonly timers: TimerService;
  readonly keys: SharedKeys;
  readonly logger: Logger;
  /** Decisions of all processes, in the order they were made. */
  readonly records: DecisionRecord[];
  /** Frames sent, by the role that sent them. */
  readonly sent: ReadonlyMap<ProcessRole, SentTraffic>;
  getDecisionSink(process: string): DecisionSink;
  join(self: PeerIdentity): Network;
  /** Makes the open connections of a process silent for good. */
  silenceConnections(process: string): void;
}

/** Creates what the processes share. */
export function createBenchContext(timers: TimerService): BenchContext {
  const records: DecisionRecord[] = [];
  const sent = new Map<ProcessRole, SentTraffic>();
  const networks = new Map<string, CountingNetwork>();
  const keys = createKeys();
  return {
    timers,
    keys,
    logger: createLogger({ process: 'bench', timers, level: LogLevel.Error }),
    records,
    sent,
    getDecisionSink: process => (decision, requestId) => {
      const at = timers.wallClock();
      records.push({ at, process, requestId, ...decision });
    },
    join: self => {
      const traffic = sent.get(self.role) ?? { frames: 0, bytes: 0 };
      sent.set(self.role, traffic);
      const counted = countSentFrames(
        createWebSocketNetwork({ self, keys, timers }),
        traffic,
      );
      networks.set(self.name, counted);
      return counted.network;
    },
    silenceConnections: process => {
      networks.get(process)?.silenceConnections();
    },
  };
}

/** Creates a shared key for processes that the bench starts. */
export function createKeys(text: string = createSharedKey()): SharedKeys {
  const keys = parseSharedKeys(text, 'the key of the bench');
  if (keys.isErr()) throw keys.error;
  return keys.value;
}

/** Creates one token for each team. */
export function createTeams(names: readonly TeamName[]): readonly BenchTeam[] {
  return [...new Set(names)].map(team => {
    const token = createToken();
    return { team, token, tokenDigests: [digestToken(token)] };
  });
}
