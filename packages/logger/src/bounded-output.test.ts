import { Writable } from 'node:stream';

import { createManualTimerService } from '@cranberryturn/timers';
import test from 'ava';

import { createBoundedOutput } from './bounded-output.js';

const line = `${'x'.repeat(999)}\n`;

/** Creates a destination that finishes a write only when `release` is called. */
function createBlockingReader() {
  const chunks: string[] = [];
  let release: (() => void) | undefined;
  const destination = new Writable({
    decodeStrings: false,
    write: (chunk: string, _encoding, done) => {
      chunks.push(chunk);
      release = done;
    },
  });
  return { destination, chunks, release: () => release?.() };
}

test('lines are written in batches, in order', async t => {
  const timers = createManualTimerService();
  const { destination, chunks } = createBlockingReader();
  const output = createBoundedOutput(destination, timers);
  output.write('first\n');
  output.write('second\n');
  t.deepEqual(chunks, []);
  await timers.advance(100);
  t.deepEqual(chunks, ['first\nsecond\n']);
});

test('a stalled reader does not block the writer, and dropped lines are counted', async t => {
  const timers = createManualTimerService();
  const { destination, chunks, release } = createBlockingReader();
  const output = createBoundedOutput(destination, timers);
  const written = 20_000;
  for (let number = 0; number < written; number += 1) {
    t.true(output.write(line) || output.writableLength < 20_000);
    if (number % 100 === 99) await timers.advance(100);
  }
  t.true(destination.writableLength < 2_000_000);
  for (let turn = 0; turn < 20; turn += 1) {
    release();
    output.write('last\n');
    await timers.advance(100);
  }
  const text = chunks.join('');
  const dropped = [...text.matchAll(/"dropped":(\d+)/g)].reduce(
    (sum, match) => sum + Number(match[1]),
    0,
  );
  const kept = text.split(line).length - 1;
  t.is(kept + dropped, written);
});

test('lines beyond the buffer of one flush are dropped and counted', async t => {
  const timers = createManualTimerService();
  const { destination, chunks, release } = createBlockingReader();
  const output = createBoundedOutput(destination, timers);
  for (let number = 0; number < 1_000; number += 1) output.write(line);
  await timers.advance(100);
  release();
  output.write('last\n');
  await timers.advance(100);
  t.regex(chunks.join(''), /log lines dropped","dropped":\d+/);
});
