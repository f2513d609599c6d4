/** Starts one of the binaries as a separate process. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { UnavailableError } from '@cranberryturn/errors';
import type { NetworkAddress } from '@cranberryturn/types';

/** Roles that have a binary. */
export enum ProcessKind {
  Control = 'control',
  Dispatcher = 'dispatcher',
  Sidecar = 'sidecar',
}

/** A process that printed that it is ready. */
export interface StartedProcess {
  readonly name: string;
  /** Listening addresses by purpose, as the process printed them. */
  readonly addresses: ReadonlyMap<string, NetworkAddress>;
  /** Resolves with the exit code, or null when a signal ended the process. */
  readonly exited: Promise<number | null>;
  /** Standard output and standard error so far. */
  output(): string;
  signal(signal: NodeJS.Signals): void;
}

const packages = fileURLToPath(new URL('../../../', import.meta.url));
const readyLine = / is ready: (.+)\n/;

/** Writes the settings into `folder`, starts the binary and waits until it is ready. Rejects when the process exits first. */
export async function startProcess(
  kind: ProcessKind,
  name: string,
  settings: unknown,
  folder: string,
): Promise<StartedProcess> {
  mkdirSync(folder, { recursive: true });
  const file = join(folder, `${name}.jsonc`);
  writeFileSync(file, JSON.stringify(settings, null, 2));
  const binary = join(packages, `${kind}/dist/binaries/cranberry-${kind}.js`);
  const child = spawn(process.execPath, [binary, '--settings', file], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const exited = new Promise<number | null>(resolve => {
    child.once('exit', resolve);
  });
  let text = '';
  const printedAddresses = await new Promise<string>((resolve, reject) => {
    const read = (chunk: Buffer): void => {
      text += chunk.toString();
      const [, ready] = readyLine.exec(text) ?? [];
      if (ready !== undefined) resolve(ready);
    };
    child.stdout.on('data', read);
    child.stderr.on('data', read);
    void exited.then(code => {
      reject(createStartError(name, code, text));
    });
  });
  return {
    name,
    addresses: parseAddresses(printedAddresses),
    exited,
    output: () => text,
    signal: signal => {
      sendSignal(child, signal);
    },
  };
}

function sendSignal(child: ChildProcess, signal: NodeJS.Signals): void {
  if (child.exitCode === null && child.signalCode === null) child.kill(signal);
}

function parseAddresses(places: string): ReadonlyMap<string, NetworkAddress> {
  return new Map(
    places.split(', ').map(place => {
      const [purpose = '', text = ''] = place.split(' ');
      const separator = text.lastIndexOf(':');
      const address = text.slice(0, separator);
      return [purpose, { address, port: Number(text.slice(separator + 1)) }];
    }),
  );
}

function createStartError(
  name: string,
  code: number | null,
  text: string,
): UnavailableError {
  return new UnavailableError(
    `${name} exited with code ${String(code)} before it was ready: ${text}`,
    { step: 'start process', peer: name },
  );
}
