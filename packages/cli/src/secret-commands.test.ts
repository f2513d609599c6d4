import { mkdtempSync, readFileSync, statSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import {
  digestToken,
  findTokenHolder,
  readSharedKeyFile,
} from '@cranberryturn/authentication';
import type { ProgramHost } from '@cranberryturn/program';
import test from 'ava';

import { runCranberryctl } from './index.js';

const folder = mkdtempSync(join(tmpdir(), 'cranberry-cli-'));

async function runCommand(...commandLine: readonly string[]) {
  const output: string[] = [];
  const exits: number[] = [];
  const host: ProgramHost = {
    commandLine,
    writeOutput: text => output.push(text),
    writeError: text => output.push(text),
    onStopSignal: () => undefined,
    onUnexpectedError: () => undefined,
    exit: code => exits.push(code),
  };
  await runCranberryctl(host);
  return { exits, text: output.join('').replaceAll(`${folder}/`, '') };
}

test('a printed token matches its printed digest', async t => {
  const { text, exits } = await runCommand('token', 'create');
  const token = /cbt_\S+/.exec(text)?.[0] ?? '';
  const digest = /sha256:\S+/.exec(text)?.[0] ?? '';
  const holder = { name: 'wards', tokenDigests: [digest] };
  t.is(findTokenHolder(token, [holder]), holder);
  t.deepEqual(exits, []);
});

test('a token file is readable by its owner only, and the token is not printed', async t => {
  const file = join(folder, 'operator.token');
  const { text } = await runCommand('token', 'create', '--file', file);
  t.notRegex(text, /cbt_/);
  t.is(statSync(file).mode & 0o777, 0o600);
  const token = readFileSync(file, 'utf8').trim();
  t.true(text.includes(digestToken(token)));
});

test('a created key file is readable, and is never overwritten', async t => {
  const file = join(folder, 'shared.key');
  const created = await runCommand('key', 'create', file);
  t.deepEqual(created.exits, []);
  t.notRegex(created.text, /cbk_/);
  const key = readSharedKeyFile(file)._unsafeUnwrap().current;
  const again = await runCommand('key', 'create', file);
  t.deepEqual(again.exits, [1]);
  t.snapshot([created.text, again.text]);
  t.deepEqual(readSharedKeyFile(file)._unsafeUnwrap().current, key);
  const nowhere = await runCommand(
    'key',
    'create',
    join(folder, 'none', 'a.key'),
  );
  t.deepEqual(nowhere.exits, [1]);
  t.regex(nowhere.text, /cannot be written/);
});

test('an unknown command is rejected with a suggestion', async t => {
  const { exits, text } = await runCommand('tokn');
  t.deepEqual(exits, [2]);
  t.regex(text, /Did you mean token/);
});
