import { once } from 'node:events';

import {
  DecisionKind,
  type DecisionSink,
  maximumAnswerBytes,
} from '@cranberryturn/types';

import {
  composeHead,
  openRawCaller,
  type RawCaller,
} from './fakes/raw-caller.js';
import {
  callersOf,
  composeJob,
  countStarts,
  jobsPath,
  createWatchedTest,
  submit,
} from './fakes/watched-system.js';

const envelopeBytes = 500;

const test = createWatchedTest();

/** When a caller disconnects. */
enum Moment {
  BeforeTheBodyIsWhole = 'before the body is whole',
  BeforeTheClaim = 'before the claim',
  AfterTheClaim = 'right after the claim',
  Placed = 'when the first task is placed',
  Started = 'while tasks run',
  Ended = 'when the first task ended',
  Replied = 'before the answer is written',
  Answering = 'while the answer is written',
}

const decisions: ReadonlyMap<Moment, DecisionKind> = new Map([
  [Moment.BeforeTheClaim, DecisionKind.Admitted],
  [Moment.AfterTheClaim, DecisionKind.Claimed],
  [Moment.Placed, DecisionKind.Placed],
  [Moment.Started, DecisionKind.Started],
  [Moment.Ended, DecisionKind.Ended],
  [Moment.Replied, DecisionKind.Replied],
]);

test.serial(
  'a caller that disconnects does not cancel its job, and a resubmission joins it',
  async t => {
    const { system, watchers } = t.context;
    for (const moment of Object.values(Moment)) {
      const before = countStarts(system);
      const job = composeJob(`job ${moment}`, 4, {
        runMilliseconds: 50,
        answerBytes: maximumAnswerBytes - envelopeBytes,
      });
      const text = JSON.stringify(job);
      const head = composeHead(
        jobsPath,
        system.tokens.team,
        Buffer.byteLength(text),
      );
      const isCut = moment === Moment.BeforeTheBodyIsWhole;
      const sent = isCut ? text.slice(0, -1) : text;
      const caller = openRawCaller(callersOf(system), head + sent);
      await disconnectAt(watchers, caller, `local-team/${job.jobId}`, moment);
      await caller.ended;
      const elsewhere = await submit(system, job, 1);
      t.is(elsewhere.status, 200, moment);
      t.is(elsewhere.body.answers?.length, 4, moment);
      const again = await submit(system, job, 0);
      t.deepEqual(again, elsewhere, moment);
      t.is(countStarts(system), before + 4, moment);
    }
    const starts = system.workers.flatMap(({ target }) => target.starts.list());
    t.true(starts.every(one => one.starts === 1));
  },
);

async function disconnectAt(
  watchers: Set<DecisionSink>,
  { socket }: RawCaller,
  jobId: string,
  moment: Moment,
): Promise<void> {
  const decision = decisions.get(moment);
  if (decision !== undefined) {
    await waitForDecision(watchers, jobId, decision, () => {
      socket.resetAndDestroy();
    });
  } else if (moment === Moment.Answering) {
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
  'a broken second request on a connection is no answer to the first',
  async t => {
    const { system } = t.context;
    const job = composeJob('pipelined');
    const text = JSON.stringify(job);
    const head = composeHead(
      jobsPath,
      system.tokens.team,
      Buffer.byteLength(text),
    );
    const caller = openRawCaller(
      callersOf(system),
      `${head}${text}HELLO\r\n\r\n`,
    );
    t.false((await caller.ended).includes('"started":"no"'));
    t.is((await submit(system, job, 1)).status, 200);
    t.is(countStarts(system), 3);
  },
);
