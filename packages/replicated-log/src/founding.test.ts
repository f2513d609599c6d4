import { ConflictError } from '@cranberryturn/errors';
import test from 'ava';

import { finish } from './model/cluster-steps.js';
import { ModelCluster } from './model/model-cluster.js';
import type { ModelHost } from './model/model-host.js';
import { PeerMessageKind, PeerReplyKind } from './ports/peer-link.js';

const foundingMilliseconds = 400;

/** Opens three founding members without waiting for a leader. */
function openFounders(): {
  cluster: ModelCluster;
  hosts: readonly [ModelHost, ModelHost, ModelHost];
} {
  const cluster = new ModelCluster(3, 1);
  cluster.network.setFaults({
    dropShare: 0,
    duplicateShare: 0,
    maximumDelay: 40,
  });
  for (const host of cluster.hosts) {
    host.disk.setSyncDelay(20);
    host.open();
  }
  const [first, second, third] = cluster.hosts;
  if (first === undefined || second === undefined || third === undefined)
    throw new Error('The cluster has fewer than three hosts.');
  return { cluster, hosts: [first, second, third] };
}

function identify(to: ModelHost, from: ModelHost, folderId: string) {
  const message = {
    kind: PeerMessageKind.Identify,
    to: to.name,
    term: 0,
    folderId,
  } as const;
  return to.log?.handlePeerMessage(from.name, message);
}

test('a founding member that joins under a new identity does not stop the others, whenever it was lost', async t => {
  for (let pause = 0; pause <= foundingMilliseconds; pause += 20) {
    const { cluster, hosts } = openFounders();
    await cluster.timers.advance(pause);
    cluster.replaceHost(hosts[2]);
    const isReplaced = await cluster.tickUntil(
      () => cluster.replacing.size === 0,
      5_000,
    );
    t.true(isReplaced, `lost after ${String(pause)} ms`);
    await finish(t, cluster);
  }
});

test('a founding member does not vote with an empty folder if only a member that is not ready has seen the former one', async t => {
  const { cluster, hosts } = openFounders();
  const [lost, unready, replaced] = hosts;
  cluster.network.cutOneWay(unready.name, replaced.name);
  await cluster.timers.advance(1_000);
  unready.crash();
  unready.open();
  cluster.network.isolate(replaced.name);
  lost.wipe();
  lost.open();
  await cluster.timers.advance(1_000);
  t.true(lost.log?.status().failure instanceof ConflictError);
});

test('the folder that a founding member has answered survives its crash and is not replaced by a later one', async t => {
  const { cluster, hosts } = openFounders();
  const [, answering, asking] = hosts;
  cluster.network.isolate(asking.name);
  await cluster.timers.advance(100);
  const first = identify(answering, asking, 'first');
  await cluster.timers.advance(100);
  t.like(await first, { knownFolderId: 'first' });
  answering.crash();
  answering.open();
  await cluster.timers.advance(100);
  const second = identify(answering, asking, 'second');
  await cluster.timers.advance(100);
  t.like(await second, {
    kind: PeerReplyKind.Identified,
    knownFolderId: 'first',
  });
});

test('a founding member does not found the log without a majority of them', async t => {
  const { cluster, hosts } = openFounders();
  const [left, ...lost] = hosts;
  for (const host of lost) {
    host.wipe();
    host.joinOnNextStart();
    cluster.network.attach(host.name, () =>
      Promise.resolve({
        kind: PeerReplyKind.Refused,
        reason: 'another identity',
        wrongIdentity: true,
      }),
    );
  }
  await cluster.timers.advance(2_000);
  const failure = left.log?.status().failure;
  t.true(failure instanceof ConflictError);
  t.regex(failure?.message ?? '', /less than a majority/);
});

test('a founding member knows the addresses of the others before they have replied', async t => {
  const { cluster, hosts } = openFounders();
  cluster.network.isolate(hosts[0].name);
  await cluster.timers.advance(500);
  t.is(hosts[0].log?.status().members.length, 3);
});
