import { once } from 'node:events';

import {
  DecisionKind,
  type DecisionSink,
  maximumAnswerBytes,
} from '@cranberryturn/types';

import {
  composeRequestHead,
  openRawCaller,
  type RawCaller,
} from './fakes/raw-caller.js';
import {
  getCallersAddress,
  composeJob,
  countStarts,
  jobsPath,
  createWatchedTest,
  submitJob,
} from './fakes/watched-system.js';

/** Room for the JSON around the padding of an answer. */
const envelopeBytes = 500;

const test = createWatchedTest();

/** Points of a job's life at which the caller disconnects. */
enum DisconnectPoint {
  BeforeTheBodyIsWhole = 'before the body is whole',
  BeforeTheClaim = 'before the claim',
  AfterTheClaim = 'right after the claim',
  Placed = 'when the first task is placed',
  Started = 'while tasks run',
  Ended = 'when the first task ended',
  Replied = 'before the answer is written',
  Answering = 'while the answer is written',
}

const decisionByPoint: ReadonlyMap<DisconnectPoint, DecisionKind> = new Map([
  [DisconnectPoint.BeforeTheClaim, DecisionKind.Admitted],
  [DisconnectPoint.AfterTheClaim, DecisionKind.Claimed],
  [DisconnectPoint.Placed, DecisionKind.Placed],
  [DisconnectPoint.Started, DecisionKind.Started],
  [DisconnectPoint.Ended, DecisionKind.Ended],
  [DisconnectPoint.Replied, DecisionKind.Replied],
]);

test.serial(
  'a caller that disconnects does not cancel its job, and a resubmission joins it',
  async t => {
    const { system, watchers } = t.context;
    for (const point of Object.values(DisconnectPoint)) {
      const before = countStarts(system);
      const job = composeJob(`job ${point}`, 4, {
        runMilliseconds: 50,
        answerBytes: maximumAnswerBytes - envelopeBytes,
      });
      const text = JSON.stringify(job);
      const head = composeRequestHead(
        jobsPath,
        system.tokens.team,
        Buffer.byteLength(text),
      );
      const isTruncated = point === DisconnectPoint.BeforeTheBodyIsWhole;
      const sent = isTruncated ? text.slice(0, -1) : text;
      const caller = openRawCaller(getCallersAddress(system), head + sent);
      await disconnectAt(watchers, caller, `local-team/${job.jobId}`, point);
      await caller.ended;
      const elsewhere = await submitJob(system, job, 1);
      t.is(elsewhere.status, 200, point);
      t.is(elsewhere.body.answers?.length, 4, point);
      const again = await submitJob(system, job, 0);
      t.deepEqual(again, elsewhere, point);
      t.is(countStarts(system), before + 4, point);
    }
    const starts = system.workers.flatMap(({ target }) => target.starts.list());
    t.true(starts.every(one => one.starts === 1));
  },
);

async function disconnectAt(
  watchers: Set<DecisionSink>,
  { socket }: RawCaller,
  jobId: string,
  point: DisconnectPoint,
): Promise<void> {
  const decision = decisionByPoint.get(point);
  if (decision !== undefined) {
    await waitForDecision(watchers, jobId, decision, () => {
      socket.resetAndDestroy();
    });
  } else if (point === DisconnectPoint.Answering) {
    await once(socket, 'data');
    socket.resetAndDestroy();
  } else {
    socket.end();
  }
}

function waitForDecision(
  watchers: Set<DecisionSink>,
  jobId: string,
  kind: DecisionKind,
  act: () => void,
): Promise<void> {
  return new Promise(resolve => {
    const watcher: DecisionSink = decision => {
      if (decision.kind !== kind || !('jobId' in decision)) return;
      if (decision.jobId !== jobId) return;
      watchers.delete(watcher);
      act();
      resolve();
    };
    watchers.add(watcher);
  });
}

test.serial(
  'a malformed second request on a connection does not answer the first',
  async t => {
    const { system } = t.context;
    const job = composeJob('pipelined');
    const text = JSON.stringify(job);
    const head = composeRequestHead(
      jobsPath,
      system.tokens.team,
      Buffer.byteLength(text),
    );
    const caller = openRawCaller(
      getCallersAddress(system),
      `${head}${text}HELLO\r\n\r\n`,
    );
    t.false((await caller.ended).includes('"started":"no"'));
    t.is((await submitJob(system, job, 1)).status, 200);
    t.is(countStarts(system), 3);
  },
);
