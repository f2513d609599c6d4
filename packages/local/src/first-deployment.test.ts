import { type ChildProcess, execFile, spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { startStandInTarget } from '@cranberryturn/stand-ins';
import { createSystemTimerService, sleep } from '@cranberryturn/timers';
import test from 'ava';
import { request } from 'undici';

const root = fileURLToPath(new URL('../../../', import.meta.url));
const page = readFileSync(
  join(root, 'docs/operators/first-deployment.md'),
  'utf8',
);
const timers = createSystemTimerService();
const folder = mkdtempSync(join(tmpdir(), 'cranberry-deployment-'));
const packagesOfBinaries: Readonly<Record<string, string>> = {
  cranberryctl: 'cli',
  'cranberry-control': 'control',
  'cranberry-dispatcher': 'dispatcher',
  'cranberry-sidecar': 'sidecar',
};
const running: ChildProcess[] = [];

/** Reads the shell commands below one heading of the page. */
function readCommands(heading: string): readonly string[] {
  const section = page.split(/^## /m).find(text => text.startsWith(heading));
  const blocks = [...(section ?? '').matchAll(/```sh\n([^`]*)```/g)];
  return blocks.flatMap(([, block]) => (block ?? '').trim().split('\n'));
}

function composeArguments(command: string): readonly string[] {
  const [name = '', ...rest] = command.split(' ');
  const packageName = packagesOfBinaries[name];
  if (packageName === undefined)
    throw new Error(`${name} is not a binary of this project.`);
  return [
    join(root, `packages/${packageName}/dist/binaries/${name}.js`),
    ...rest,
  ];
}

function runCommand(command: string): Promise<{ code: number; text: string }> {
  return new Promise(resolve => {
    const options = { timeout: 60_000 };
    execFile(
      process.execPath,
      composeArguments(command),
      options,
      (error, standardOutput, standardError) => {
        const code = error === null ? 0 : Number(error.code ?? -1);
        resolve({ code, text: standardOutput + standardError });
      },
    );
  });
}

function startBinary(command: string): Promise<ChildProcess> {
  const child = spawn(process.execPath, composeArguments(command), {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  running.push(child);
  return new Promise((resolve, reject) => {
    let text = '';
    const read = (chunk: Buffer): void => {
      text += chunk.toString();
      if (text.includes(' is ready: ')) resolve(child);
    };
    child.stdout.on('data', read);
    child.stderr.on('data', read);
    child.once('exit', code => {
      reject(new Error(`${command} ended with ${String(code)}: ${text}`));
    });
  });
}

function stopProcess(child: ChildProcess): Promise<number | null> {
  return new Promise(resolve => {
    child.once('exit', resolve);
    child.kill('SIGTERM');
  });
}

/**
 * Maps every host of the example to a loopback address of its own and keeps the ports of the page.
 * A search for free ports would race: another process may take one before the binary listens on it.
 */
function createRelocation(): (text: string) => string {
  const network = `127.${String(randomInt(1, 255))}.${String(randomInt(255))}`;
  const hosts = new Map<string, string>();
  const relocate = (address: string): string => {
    const chosen = hosts.get(address) ?? `${network}.${String(hosts.size + 1)}`;
    hosts.set(address, chosen);
    return chosen;
  };
  return text => text.replace(/\b10(\.\d+){3}\b/g, relocate);
}

test.after.always(() => {
  for (const child of running) child.kill('SIGKILL');
});

test('the commands of first-deployment.md deploy a system that answers', async t => {
  t.timeout(150_000);
  const relocate = createRelocation();
  const digests: string[] = [];
  for (const command of readCommands('Desk')) {
    const { code, text } = await runCommand(
      command.replaceAll('/etc/cranberryturn', folder),
    );
    t.is(code, 0, text);
    digests.push(...(text.match(/sha256:[0-9a-f]{64}/g) ?? []));
  }
  const [operatorDigest = '', teamDigest = ''] = digests;

  const installFile = (
    file: string,
    edit: (text: string) => string,
  ): string => {
    const host = file.replace('.jsonc', '');
    const source = readFileSync(join(root, 'examples/hanoi', file), 'utf8');
    const text = edit(relocate(source))
      .replaceAll('/etc/cranberryturn', folder)
      .replaceAll('/var/lib/cranberryturn', join(folder, host))
      .replaceAll('/var/log/cranberryturn/', join(folder, `${host}-log-`));
    writeFileSync(join(folder, file), text);
    return join(folder, file);
  };
  const deploy = async (
    heading: string,
    role: string,
    count: number,
    edit: (text: string) => string,
  ): Promise<ChildProcess[]> => {
    const [check = '', startCommand = ''] = readCommands(heading);
    const files = readdirSync(join(root, 'examples/hanoi'))
      .filter(file => file.startsWith(`${role}-`))
      .slice(-count);
    const deployOne = async (file: string): Promise<ChildProcess> => {
      const path = installFile(file, edit);
      const withSettingsFile = (command: string): string =>
        command.replace(`/etc/cranberryturn/${role}.jsonc`, path);
      const checked = await runCommand(withSettingsFile(check));
      t.is(checked.code, 0, checked.text);
      return startBinary(withSettingsFile(startCommand));
    };
    return Promise.all(files.map(deployOne));
  };
  const useDigest = (digest: string) => (text: string) =>
    text.replace(/sha256:[0-9a-f]{64}/g, digest);

  installFile('initial-configuration.jsonc', text => text);
  const controls = await deploy(
    'Control hosts',
    'control',
    3,
    useDigest(operatorDigest),
  );
  const dispatchers = await deploy(
    'Entry hosts',
    'dispatcher',
    3,
    useDigest(teamDigest),
  );
  const target = await startStandInTarget({ targetId: 'any', timers, seed: 1 });
  t.teardown(() => target.close());
  const sidecars = await deploy('Workers', 'sidecar', 2, text =>
    text.replace('http://127.0.0.1:9000', target.url),
  );

  const clientSettingsFile = installFile('cranberryctl.jsonc', text => text);
  const withClientSettings = (command = ''): string =>
    command.replace(
      '/etc/cranberryturn/cranberryctl.jsonc',
      clientSettingsFile,
    );
  const [status, curl = ''] = readCommands('Look and try');
  const worker = 'hoan-kiem-rack-2-worker-';
  let statusOutput = await runCommand(withClientSettings(status));
  for (let round = 0; round < 100; round += 1) {
    if (statusOutput.text.split(worker).length > 2) break;
    await sleep(timers, 200);
    statusOutput = await runCommand(withClientSettings(status));
  }
  t.is(statusOutput.code, 0, statusOutput.text);
  t.true(statusOutput.text.split(worker).length > 2, statusOutput.text);

  const token = readFileSync(join(folder, 'team.token'), 'utf8').trim();
  const body = /-d '([^']+)'/.exec(curl)?.[1] ?? '';
  const url = relocate(/http:\/\/\S+/.exec(curl)?.[0] ?? '');
  const submit = async (authorization: string) => {
    const headers = { authorization, 'content-type': 'application/json' };
    const response = await request(url, { method: 'POST', headers, body });
    return { status: response.statusCode, text: await response.body.text() };
  };
  const answer = await submit(`Bearer ${token}`);
  t.is(answer.status, 200, answer.text);
  t.true(answer.text.includes('"outcome":"complete"'));
  t.is(target.starts.total(), 2);
  t.is((await submit('Bearer cbt_unknown')).status, 401);
  t.is(target.starts.total(), 2);

  const [plan = '', confirm = ''] = readCommands('First change');
  const planned = await runCommand(
    withClientSettings(plan).replace(
      'hoan-kiem-rack-1-worker-1',
      'hoan-kiem-rack-2-worker-3',
    ),
  );
  t.is(planned.code, 0, planned.text);
  const identifier = /v\d+~\S+~[0-9a-f]{16}/.exec(planned.text)?.[0] ?? '';
  const confirmed = await runCommand(
    withClientSettings(confirm).replace('PLAN', identifier),
  );
  t.is(confirmed.code, 0, confirmed.text);

  for (const group of [sidecars, dispatchers, controls]) {
    t.deepEqual(
      await Promise.all(group.map(stopProcess)),
      group.map(() => 0),
    );
  }
});
