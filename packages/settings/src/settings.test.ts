import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import test from 'ava';
import type * as z from 'zod';

import {
  commandLineSettingsSchema,
  controlSettingsSchema,
  dispatcherSettingsSchema,
  localSettingsSchema,
  parseSettingsText,
  readSettingsFile,
  sidecarSettingsSchema,
} from './index.js';

const digest = `sha256:${'0'.repeat(64)}`;

const dispatcher = {
  dispatcherId: 'entry-1',
  host: 'entry-1',
  dataCentre: 'north',
  region: 'home',
  callers: { address: '127.0.0.1', port: 0 },
  peers: { address: '127.0.0.1', port: 0 },
  control: [{ replicaId: 'control-1', address: '127.0.0.1', port: 7400 }],
  sharedKeyFile: 'shared.key',
  teams: [{ team: 'wards', tokenDigests: [digest] }],
};

const sidecar = {
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
};

const control = {
  replicaId: 'control-1',
  host: 'control-1',
  dataCentre: 'north',
  region: 'home',
  dataFolder: 'data',
  peers: {
    listen: { address: '127.0.0.1', port: 7400 },
    members: [{ replicaId: 'control-1', address: '127.0.0.1', port: 7400 }],
  },
  administration: { address: '127.0.0.1', port: 7500 },
  operators: [{ name: 'linh', tokenDigests: [digest] }],
  sharedKeyFile: 'shared.key',
};

const local = {
  services: [
    {
      service: 'lookup',
      racks: [{ rack: 'rack-1', dataCentre: 'north', workers: 3 }],
      resources: { processors: 4, memoryMebibytes: 1024 },
    },
  ],
};

function parse(settings: unknown, schema: z.ZodType) {
  return parseSettingsText(
    JSON.stringify(settings, null, 2),
    'a.jsonc',
    schema,
  );
}

function parseErrorMessage(settings: unknown, schema: z.ZodType): string {
  return parse(settings, schema)._unsafeUnwrapErr().message;
}

test('the minimal settings of each role are completed with defaults', t => {
  t.snapshot(parse(dispatcher, dispatcherSettingsSchema)._unsafeUnwrap());
  t.snapshot(parse(sidecar, sidecarSettingsSchema)._unsafeUnwrap());
  t.snapshot(parse(control, controlSettingsSchema)._unsafeUnwrap());
  t.snapshot(parse(local, localSettingsSchema)._unsafeUnwrap());
  t.snapshot(
    parse(
      { administration: ['http://127.0.0.1:7500'] },
      commandLineSettingsSchema,
    )._unsafeUnwrap(),
  );
});

test('comments, trailing commas and a byte order mark are allowed', t => {
  const text = `\uFEFF// The desk of the operator.
  { "administration": ["http://127.0.0.1:7500",], /* one */ }`;
  const read = parseSettingsText(text, 'a.jsonc', commandLineSettingsSchema);
  t.deepEqual(read._unsafeUnwrap().administration, ['http://127.0.0.1:7500']);
});

test('the error lists every problem with its position', t => {
  const wrong = {
    ...dispatcher,
    host: undefined,
    calers: dispatcher.callers,
    dataCentre: 'north hall',
    callers: { address: 'localhost', port: 70_000 },
    peers: { address: '0.0.0.0', port: 'any' },
    control: [],
    teams: [{ team: 'wards', tokenDigest: [digest], tokenDigests: ['cbt_1'] }],
    limits: { bodyBytes: 10.5, callersConnections: null },
    log: { level: 'loud', decisionsFile: 'x' },
    stop: [],
  };
  const error = parse(wrong, dispatcherSettingsSchema)._unsafeUnwrapErr();
  t.snapshot(error.message);
  t.snapshot(error.problems);
});

test('a key that a role no longer accepts is reported with the remedy', t => {
  const operators = [{ name: 'linh', tokenDigests: [digest] }];
  t.regex(
    parseErrorMessage({ ...dispatcher, operators }, dispatcherSettingsSchema),
    /operators.*remove operators, which only the settings of control hosts name/s,
  );
  t.true(parse({ ...control, operators }, controlSettingsSchema).isOk());
});

test('heldBytes must cover one request body and the kept answers together', t => {
  const mebibyte = 1_048_576;
  const held = (heldBytes: number) => ({
    ...dispatcher,
    limits: { bodyBytes: 8 * mebibyte, heldBytes },
    retention: { answersBytes: 64 * mebibyte },
  });
  t.true(parse(held(72 * mebibyte), dispatcherSettingsSchema).isOk());
  t.regex(
    parseErrorMessage(held(72 * mebibyte - 1), dispatcherSettingsSchema),
    /limits\.heldBytes.*answersBytes together/s,
  );
});

test('constraints between keys are validated', t => {
  const twice = [dispatcher.control[0], dispatcher.control[0]];
  t.snapshot([
    parseErrorMessage(
      { ...dispatcher, control: twice },
      dispatcherSettingsSchema,
    ),
    parseErrorMessage(
      { ...dispatcher, peers: { address: '0.0.0.0', port: 7300 } },
      dispatcherSettingsSchema,
    ),
    parseErrorMessage(
      { ...dispatcher, heartbeat: { suspectAfterMilliseconds: 1_500 } },
      dispatcherSettingsSchema,
    ),
    parseErrorMessage(
      { ...control, replicaId: 'contrl-1' },
      controlSettingsSchema,
    ),
    parseErrorMessage(
      { ...sidecar, target: { url: '127.0.0.1:8080' } },
      sidecarSettingsSchema,
    ),
    parseErrorMessage(
      { ...control, timings: { electionTimeoutMilliseconds: 200 } },
      controlSettingsSchema,
    ),
  ]);
});

test('only a control replica that joins a group may have no data folder', t => {
  const withoutFolder = { ...control, dataFolder: undefined };
  const group = { seeds: [{ address: '127.0.0.1', port: 7400 }] };
  const observer = { ...withoutFolder, joining: true, group };
  t.true(parse(observer, controlSettingsSchema).isOk());
  t.snapshot([
    parseErrorMessage(withoutFolder, controlSettingsSchema),
    parseErrorMessage(
      { ...withoutFolder, joining: true },
      controlSettingsSchema,
    ),
  ]);
});

test('each syntax error is reported with its position', t => {
  const texts = [
    '',
    '[]',
    '{ "administration": ["http://127.0.0.1:7500"]',
    '{ "administration": ["http://127.0.0.1:7500" }',
    '{\n  administration: []\n}',
    '{ "administration" ["http://127.0.0.1:7500"] }',
    '{ "administration": , "tokenFile": "a" }',
    '{ "administration": ["http://127.0.0.1:7500"] "tokenFile": "a" }',
    '{ "administration": ["http://127.0.0.1:7500] }',
    '{ "administration": ["http://127.0.0.1:7500"] } more',
    '{ "administration": ["http://127.0.0.1:7500"] /* open',
    '{ "administration": [],\n  "administration": ["http://127.0.0.1:7500"] }',
    '{ "administration": ["http://127.0.0.1:7500"], "timeoutMilliseconds": 1e }',
  ];
  const messages = texts.map(text =>
    parseSettingsText(text, 'a.jsonc', commandLineSettingsSchema)
      ._unsafeUnwrapErr()
      .message.split('\n')
      .slice(1),
  );
  t.snapshot(messages);
});

test('a token in place of a digest does not appear in the error', t => {
  const token = 'cbt_abcdefghijklmnopqrstuvwxyz';
  const teams = [{ team: 'wards', tokenDigests: [token] }];
  const message = parseErrorMessage(
    { ...dispatcher, teams },
    dispatcherSettingsSchema,
  );
  t.false(message.includes(token));
  t.true(message.includes('a string of 30 characters'));
});

test('a file is read, and the error for a missing file names its path', t => {
  const folder = mkdtempSync(join(tmpdir(), 'cranberry-settings-'));
  const path = join(folder, 'local.jsonc');
  const missing = readSettingsFile(path, localSettingsSchema);
  t.true(missing._unsafeUnwrapErr().message.includes(path));
  writeFileSync(path, JSON.stringify(local));
  t.true(readSettingsFile(path, localSettingsSchema).isOk());
});
