/** Resources that all roles of a measured system share. */
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

/** A team with its bearer token. */
export interface BenchTeam {
  readonly team: TeamName;
  readonly token: string;
  readonly tokenDigests: readonly string[];
}

/** Resources that all roles of a measured system share. */
export interface BenchContext {
  readonly timers: TimerService;
  readonly keys: SharedKeys;
  readonly logger: Logger;
  /** Decisions of all roles, in the order in which they were made. */
  readonly records: DecisionRecord[];
  /** Frames sent, by role of the sender. */
  readonly sent: ReadonlyMap<ProcessRole, SentTraffic>;
  getDecisionSink(process: string): DecisionSink;
  join(self: PeerIdentity): Network;
  /** Makes the open connections of a process silent permanently; new ones work. */
  silenceConnections(process: string): void;
}

/** Creates the shared resources with a new shared key. */
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

/** Creates the shared key of the processes that the bench starts. Throws when `text` is not a valid key. */
export function createKeys(text: string = createSharedKey()): SharedKeys {
  const keys = parseSharedKeys(text, 'the key of the bench');
  if (keys.isErr()) throw keys.error;
  return keys.value;
}

/** Creates one token for each distinct team. */
export function createTeams(names: readonly TeamName[]): readonly BenchTeam[] {
  return [...new Set(names)].map(team => {
    const token = createToken();
    return { team, token, tokenDigests: [digestToken(token)] };
  });
}
