import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { ConnectionError } from '@cranberryturn/errors';
import { createRandomSource } from '@cranberryturn/random';
import { createSystemTimerService } from '@cranberryturn/timers';
import test from 'ava';
import { errAsync } from 'neverthrow';

import { createFileLogDisk } from './adapters/file-log-disk.js';
import { ReplicaRole, StartKind, type ReplicatedLog } from './log-types.js';
import { MemberRole } from './members.js';
import { openReplicatedLog } from './open-replicated-log.js';
import type { PeerLink } from './ports/peer-link.js';
import type { StateMachine } from './ports/state-machine.js';

const noLink: PeerLink = {
  call: peer =>
    errAsync(
      new ConnectionError('A log with a single replica has no peers.', {
        step: 'call',
        peer,
      }),
    ),
};

function createCounter(): StateMachine<number> & { readonly texts: string[] } {
  const texts: string[] = [];
  return {
    texts,
    apply: entry => texts.push(Buffer.from(entry.command).toString()),
    snapshot: () => Buffer.from(JSON.stringify(texts)),
    restore: bytes => {
      const restored = JSON.parse(Buffer.from(bytes).toString()) as string[];
      texts.splice(0, texts.length, ...restored);
    },
  };
}

async function openSingleReplica(
  folder: string,
  stateMachine: StateMachine<number>,
): Promise<ReplicatedLog<number>> {
  const opened = await openReplicatedLog({
    disk: createFileLogDisk(folder),
    link: noLink,
    stateMachine,
    timers: createSystemTimerService(),
    random: createRandomSource(1),
    start: {
      kind: StartKind.Bootstrap,
      replicaId: 'only',
      members: [{ replicaId: 'only', role: MemberRole.Voter, address: '' }],
    },
    tuning: { snapshotEntries: 7, trailingEntries: 2 },
  });
  return opened._unsafeUnwrap();
}

async function awaitLeader(log: ReplicatedLog<number>): Promise<void> {
  while (log.status().role !== ReplicaRole.Leader) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

test('a single replica on real files keeps acknowledged commands across restarts', async t => {
  const folder = await mkdtemp(join(tmpdir(), 'replicated-log-'));
  t.teardown(() => rm(folder, { recursive: true, force: true }));
  const expected: string[] = [];
  for (let run = 0; run < 4; run += 1) {
    const counter = createCounter();
    const log = await openSingleReplica(folder, counter);
    await awaitLeader(log);
    const proof = await log.confirmLeadership();
    t.true(proof.isOk());
    t.deepEqual(counter.texts, expected);
    for (let number = 0; number < 5; number += 1) {
      const text = `run ${String(run)} command ${String(number)}`;
      const result = await log.propose(Buffer.from(text));
      expected.push(text);
      t.is(result._unsafeUnwrap().outcome, expected.length);
    }
    await log.stop();
  }
  t.is(expected.length, 20);
});
