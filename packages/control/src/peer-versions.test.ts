import {
  PeerMessageKind,
  PeerReplyKind,
  type RefusedReply,
} from '@cranberryturn/replicated-log';
import { createManualTimerService } from '@cranberryturn/timers';
import {
  createMemoryNetwork,
  defaultPropagationTimes,
  ProcessRole,
  serveRemoteCalls,
} from '@cranberryturn/wire';
import test from 'ava';

import { createWirePeerLink } from './adapters/wire-peer-link.js';
import { AdministrationMethod } from './administration-calls.js';

const leaderAddress = { address: '127.0.0.1', port: 9 };

/** Starts a replica `c1` that handles calls as given, and a link of `c2` to it. */
async function startLink(handleCall: () => Promise<unknown>) {
  const timers = createManualTimerService();
  const memory = createMemoryNetwork(timers, 1);
  const join = (name: string) =>
    memory.join({ role: ProcessRole.Control, name, incarnation: 'run' });
  await join('c1').listen(leaderAddress, connection => {
    serveRemoteCalls(connection, timers, { handleCall });
  });
  const network = join('c2');
  const link = createWirePeerLink({
    network: () => network,
    timers,
    times: defaultPropagationTimes,
    self: () => 'c2',
    findAddress: () => leaderAddress,
    handleReplaced: () => undefined,
  });
  return { timers, link };
}

test('a leader of an earlier version that does not know a call stays connected', async t => {
  const { timers, link } = await startLink(() => Promise.resolve(undefined));
  const reply = link.administer('c1', {
    method: AdministrationMethod.ListEvacuations,
  });
  await timers.advance(100);
  t.true((await reply).isOk());
  t.not(link.findSilence('c1'), undefined);
  link.close();
});

// A process whose replica has stopped answers its peers, so it was never counted as silent, and nothing took its place.
test('a stopped replica counts as silent although its process replies', async t => {
  const refusal: RefusedReply = {
    kind: PeerReplyKind.Refused,
    reason: 'stopped',
    wrongIdentity: false,
    isStopped: true,
  };
  const vote = { kind: PeerReplyKind.VoteAnswer, term: 1, granted: true };
  let reply: unknown = refusal;
  const { timers, link } = await startLink(() => Promise.resolve(reply));
  const last = { index: 1, term: 1 };
  const call = async (): Promise<void> => {
    void link.call('c1', {
      kind: PeerMessageKind.Vote,
      to: 'c1',
      term: 1,
      last,
    });
    await timers.advance(100);
  };
  for (let second = 0; second < 3; second += 1) {
    await call();
    await timers.advance(900);
  }
  t.true((link.findSilence('c1') ?? 0) > 2_500);
  reply = vote;
  await call();
  t.true((link.findSilence('c1') ?? Infinity) <= 100);
  link.close();
});
