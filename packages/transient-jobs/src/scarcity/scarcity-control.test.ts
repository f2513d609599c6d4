/** Scarcity as one dispatcher sees it over time. */
import { createSilentLogger, type Logger } from '@cranberryturn/logger';
import { createMetrics } from '@cranberryturn/metrics';
import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import { createJob, createQueue } from '../fakes/create-job.js';
import { ScarcityControl } from './scarcity-control.js';
import { defaultScarcitySettings } from './scarcity-settings.js';

const waveMilliseconds = 11_000;
const stepMilliseconds = 250;

function startControl() {
  const timers = createManualTimerService();
  const changes: string[] = [];
  const logger: Logger = {
    ...createSilentLogger(),
    warn: message => {
      changes.push(message);
    },
  };
  const metrics = createMetrics({ role: 'dispatcher', process: 'one', timers });
  // Without left-over capacity, so that the other rules decide.
  const scarcity = { ...defaultScarcitySettings, leftOverEndFactor: 0 };
  const control = new ScarcityControl({ scarcity, timers, logger, metrics });
  let jobs = 0;
  const decide = (waitMilliseconds: number, queue = 'status') => {
    jobs += 1;
    return control.decide(
      {
        job: createJob(`job-${String(jobs)}`, 4, {
          queue: createQueue({ queue }),
        }),
        criticalPathMilliseconds: 100,
        waitMilliseconds,
        startsAtOnce: waitMilliseconds <= 0,
      },
      [],
    );
  };
  return { timers, changes, metrics, decide };
}

test('a load wave with a period of 11 s does not switch scarcity on and off', async t => {
  const { timers, changes, decide } = startControl();
  for (let at = 0; at < 5 * waveMilliseconds; at += stepMilliseconds) {
    const phase = Math.sin((at / waveMilliseconds) * 2 * Math.PI);
    decide(Math.max(0, 300 * phase));
    await timers.advance(stepMilliseconds);
  }
  t.deepEqual(changes, ['capacity is scarce']);
  await timers.advance(13_000);
  decide(0);
  t.deepEqual(changes, ['capacity is scarce', 'capacity is sufficient']);
});

test('a queue that is refused keeps its floor beside a queue that is served', async t => {
  const { timers, decide } = startControl();
  let admitted = 0;
  const rounds = 400;
  for (let round = 0; round < rounds; round += 1) {
    decide(0, 'lookup');
    if (decide(200).isAdmitted) admitted += 1;
    await timers.advance(20);
  }
  t.true(
    admitted / rounds > 0.4 && admitted / rounds < 0.6,
    `${String(admitted)} of ${String(rounds)} admitted`,
  );
});

test('operators read by queue what was offered, admitted and refused, and the shares in force', t => {
  const { metrics, decide } = startControl();
  decide(0);
  decide(5_000);
  t.deepEqual(metrics.read().queues, [
    {
      queue: 'status',
      events: { offered: 2, admitted: 1, refused_too_late: 1 },
      values: {
        admitted_share: 1,
        floor_share: 0.5,
        input_age_milliseconds: 0,
      },
    },
  ]);
});
