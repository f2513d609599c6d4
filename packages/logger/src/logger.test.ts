import { mkdtempSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Writable } from 'node:stream';

import { createManualTimerService } from '@cranberryturn/timers';
import { DecisionKind, LogFormat, LogLevel } from '@cranberryturn/types';
import test from 'ava';

import {
  createDecisionLog,
  createLogger,
  createMemoryDecisionLog,
  createSilentLogger,
  type LoggerOptions,
} from './index.js';

const leaving = {
  kind: DecisionKind.Leaving,
  target: 'target-1',
  incarnation: 'run-1',
} as const;

function createCollectingLogger(options: Partial<LoggerOptions> = {}) {
  const chunks: string[] = [];
  const stream = new Writable({
    write: (chunk, _encoding, done) => {
      chunks.push(String(chunk));
      done();
    },
  });
  const timers = createManualTimerService();
  const logger = createLogger({
    process: 'entry-1',
    timers,
    stream,
    ...options,
  });
  return { logger, timers, text: () => chunks.join('') };
}

function temporaryFile(): string {
  return join(mkdtempSync(join(tmpdir(), 'cranberry-log-')), 'lines.jsonl');
}

test('JSON lines contain time, process, level and inherited fields', async t => {
  const { logger, text } = createCollectingLogger();
  const child = logger.child({ requestId: 'r-1' }).child({ jobId: 'j-1' });
  child.info('job admitted', { tasks: 3 });
  child.debug('not written');
  t.false(logger.isEnabled(LogLevel.Debug));
  child.error('job failed', {
    error: new Error('outer', { cause: new Error('inner') }),
  });
  await logger.close();
  child.info('after close');
  t.snapshot(text());
});

test('readable lines show fields as name=value', async t => {
  const { logger, text } = createCollectingLogger({
    format: LogFormat.Readable,
  });
  logger.warn('slow', {
    target: 'target-1',
    peers: ['a', 'b'],
    none: undefined,
  });
  await logger.close();
  t.regex(text(), /entry-1 slow target=target-1 peers=\["a","b"\]\n$/);
});

test('secrets are redacted from messages, fields and errors', async t => {
  const { logger, text } = createCollectingLogger();
  logger.info('header was Bearer hidden-1', {
    Authorization: 'hidden-2',
    settings: { token: 'hidden-3', list: [{ sharedKey: 'hidden-4' }] },
    note: 'pasted cbt_hidden-5 and cbk_hidden-6',
    error: new Error('refused Bearer hidden-7'),
    tokenDigests: ['sha256:shown'],
  });
  await logger.close();
  t.notRegex(text(), /hidden/);
  t.true(text().includes('sha256:shown'));
});

test('a log file contains every line after close', async t => {
  const file = temporaryFile();
  const timers = createManualTimerService();
  const logger = createLogger({ process: 'entry-1', timers, file });
  for (let line = 0; line < 500; line += 1) logger.info('line', { line });
  await logger.close();
  t.is(readFileSync(file, 'utf8').trimEnd().split('\n').length, 500);
});

test('a logger with a long backlog closes without losing a line', async t => {
  const lines = 50_000;
  const file = temporaryFile();
  const timers = createManualTimerService();
  const logger = createLogger({ process: 'entry-1', timers, file });
  const text = 'x'.repeat(300);
  for (let line = 0; line < lines; line += 1) logger.info('line', { text });
  await logger.close();
  t.is(readFileSync(file, 'utf8').trimEnd().split('\n').length, lines);
});

test('decisions go to the log unless its level is above info', async t => {
  const shown = createCollectingLogger();
  createDecisionLog({ ...shown, process: 'entry-1' }).record(leaving, 'r-1');
  await shown.logger.close();
  t.snapshot(shown.text());
  const hidden = createCollectingLogger({ level: LogLevel.Warn });
  createDecisionLog({ ...hidden, process: 'entry-1' }).record(leaving);
  await hidden.logger.close();
  t.is(hidden.text(), '');
});

test('a decision file is buffered, flushed periodically and complete after close', async t => {
  const file = temporaryFile();
  const timers = createManualTimerService();
  const logger = createSilentLogger();
  const log = createDecisionLog({ logger, process: 'entry-1', timers, file });
  const lines = (): string[] =>
    readFileSync(file, 'utf8').split('\n').filter(Boolean);
  log.record(leaving, 'r-1');
  t.is(timers.countPendingTimers(), 1);
  await timers.advance(200);
  t.is(timers.countPendingTimers(), 0);
  for (let line = 0; line < 2_000; line += 1) log.record(leaving);
  await log.close();
  log.record(leaving);
  t.is(lines().length, 2_001);
  t.snapshot(JSON.parse(lines()[0] ?? ''));
});

test('a decision file that cannot be opened is reported once', async t => {
  const { logger, timers, text } = createCollectingLogger();
  const file = join(temporaryFile(), 'below-a-missing-folder');
  const log = createDecisionLog({ logger, process: 'entry-1', timers, file });
  log.record(leaving);
  await timers.advance(200);
  await log.close();
  log.record(leaving);
  await logger.close();
  t.is(text().match(/decision file cannot be written/g)?.length, 1);
});

test('an in-memory decision log returns records by kind', t => {
  const timers = createManualTimerService();
  const log = createMemoryDecisionLog({ process: 'entry-1', timers });
  log.record(leaving);
  t.is(log.ofKind(DecisionKind.Leaving)[0]?.target, 'target-1');
  t.is(log.ofKind(DecisionKind.Placed).length, 0);
});
