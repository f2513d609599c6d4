import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { CranberryError } from '@cranberryturn/errors';
import { sidecarSettingsSchema } from '@cranberryturn/settings';
import test from 'ava';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';

import {
  type ProgramHost,
  type RunningRole,
  runRoleProgram,
  UnexpectedErrorPolicy,
} from './index.js';

const folder = mkdtempSync(join(tmpdir(), 'cranberry-program-'));
const logFile = join(folder, 'log.jsonl');

const settings = {
  targetId: 'target-1',
  host: 'worker-1',
  rack: 'rack-1',
  dataCentre: 'north',
  region: 'home',
  service: 'lookup',
  resources: { processors: 4, memoryMebibytes: 1024 },
  slots: 8,
  target: { url: 'http://127.0.0.1:8080' },
  dispatchers: [{ address: '127.0.0.1', port: 7300 }],
  sharedKeyFile: 'shared.key',
  operations: { address: '127.0.0.1', port: 0 },
  log: { file: logFile },
};

function writeSettings(name: string, value: unknown): string {
  const path = join(folder, name);
  writeFileSync(path, JSON.stringify(value));
  return path;
}

const validSettingsFile = writeSettings('good.jsonc', settings);
const invalidSettingsFile = writeSettings('bad.jsonc', {
  ...settings,
  slots: 0,
  slot: 1,
});

function createHost(commandLine: readonly string[]) {
  const output: string[] = [];
  const exits: number[] = [];
  let signal: (name: string) => void = () => undefined;
  let fail: (error: unknown) => void = () => undefined;
  const host: ProgramHost = {
    commandLine,
    writeOutput: text => output.push(text),
    writeError: text => output.push(text),
    onStopSignal: handler => {
      signal = handler;
    },
    onUnexpectedError: handler => {
      fail = handler;
    },
    exit: code => exits.push(code),
  };
  const text = (): string => output.join('').replaceAll(`${folder}/`, '');
  return {
    host,
    exits,
    text,
    fail: (error: unknown) => {
      fail(error);
    },
    signal: () => {
      signal('SIGTERM');
    },
  };
}

function describeProgram(
  start: () => ResultAsync<RunningRole, CranberryError>,
) {
  return {
    name: 'cranberry-sidecar',
    role: 'sidecar',
    description: 'Announces one target and starts its tasks.',
    schema: sidecarSettingsSchema,
    processName: (checked: { targetId: string }) => checked.targetId,
    start,
  };
}

const addresses = { operations: { address: '::1', port: 7600 } };

test('the command line and the settings are validated before anything starts', async t => {
  const seen: unknown[] = [];
  for (const commandLine of [
    ['--settings', validSettingsFile, '--check-settings'],
    ['--settings', invalidSettingsFile, '--check-settings'],
    ['--settings', invalidSettingsFile],
    ['--settings', join(folder, 'missing.jsonc')],
    [],
    ['--setings', validSettingsFile],
    ['--settings', validSettingsFile, 'more'],
    ['--help'],
  ]) {
    const { host, exits, text } = createHost(commandLine);
    await runRoleProgram(
      describeProgram(() => {
        throw new Error('started');
      }),
      host,
    );
    seen.push({ exits, text: text() });
  }
  t.snapshot(seen);
});

test('the version is printed', async t => {
  const { host, exits, text } = createHost(['--version']);
  await runRoleProgram(
    describeProgram(() => {
      throw new Error('started');
    }),
    host,
  );
  t.regex(text(), /^\d+\.\d+\.\d+\n$/);
  t.deepEqual(exits, [0]);
});

test('a role that cannot start reports the error and exits with 1', async t => {
  const { host, exits, text } = createHost(['--settings', validSettingsFile]);
  const error = new CranberryError('Port 7600 is taken.', { step: 'listen' });
  await runRoleProgram(
    describeProgram(() => errAsync(error)),
    host,
  );
  t.deepEqual(exits, [1]);
  t.is(text(), 'cranberry-sidecar cannot start: Port 7600 is taken.\n');
});

test('the first signal starts a planned stop, the second exits immediately', async t => {
  const { host, exits, text, signal } = createHost([
    '--settings',
    validSettingsFile,
  ]);
  let finish: () => void = () => undefined;
  const stopped = new Promise<void>(resolve => {
    finish = resolve;
  });
  const running = { addresses, stop: () => stopped };
  const done = runRoleProgram(
    describeProgram(() => okAsync(running)),
    host,
  );
  signal();
  await new Promise(resolve => setImmediate(resolve));
  t.deepEqual(exits, []);
  signal();
  t.deepEqual(exits, [1]);
  finish();
  await done;
  t.deepEqual(exits, [1, 0]);
  t.is(text(), 'cranberry-sidecar is ready: operations [::1]:7600\n');
  t.true(readFileSync(logFile, 'utf8').includes('planned stop done'));
});

test('a planned stop that fails exits with 1', async t => {
  const { host, exits, signal } = createHost(['--settings', validSettingsFile]);
  const stop = () => Promise.reject(new Error('disk'));
  const done = runRoleProgram(
    describeProgram(() => okAsync({ addresses, stop })),
    host,
  );
  signal();
  await done;
  t.deepEqual(exits, [1]);
});

test('an unexpected error is logged, and ends only a program whose policy says so', async t => {
  for (const [policy, expectedExits] of [
    [UnexpectedErrorPolicy.Continue, [0]],
    [UnexpectedErrorPolicy.Exit, [1]],
  ] as const) {
    const { host, exits, fail, signal } = createHost([
      '--settings',
      validSettingsFile,
    ]);
    const stop = () => Promise.resolve();
    const program = describeProgram(() => okAsync({ addresses, stop }));
    const done = runRoleProgram({ ...program, unexpectedErrors: policy }, host);
    await new Promise(resolve => setImmediate(resolve));
    fail(new Error(`unexpected with policy ${policy}`));
    await new Promise(resolve => setTimeout(resolve, 100));
    if (policy === UnexpectedErrorPolicy.Continue) {
      t.deepEqual(exits, []);
      signal();
      await done;
    }
    t.deepEqual(exits, expectedExits);
    const log = readFileSync(logFile, 'utf8');
    t.true(log.includes(`unexpected with policy ${policy}`));
  }
});

test('an unexpected error during the start ends any program', async t => {
  const { host, exits, fail } = createHost(['--settings', validSettingsFile]);
  const start = () =>
    new ResultAsync<RunningRole, CranberryError>(new Promise(() => undefined));
  void runRoleProgram(describeProgram(start), host);
  await new Promise(resolve => setImmediate(resolve));
  fail(new Error('unexpected'));
  await new Promise(resolve => setTimeout(resolve, 100));
  t.deepEqual(exits, [1]);
});
