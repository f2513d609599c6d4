/** A control replica with its administration API, for tests of the commands. */
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createToken, digestToken } from '@cranberryturn/authentication';
import {
  type AdministrationServer,
  type ControlNode,
  createMemoryLog,
  serveAdministration,
  startControl,
} from '@cranberryturn/control';
import { createSilentLogger } from '@cranberryturn/logger';
import { createMetrics } from '@cranberryturn/metrics';
import type { ProgramHost } from '@cranberryturn/program';
import {
  createSystemTimerService,
  type TimerService,
} from '@cranberryturn/timers';
import { createMemoryNetwork, ProcessRole } from '@cranberryturn/wire';
import { okAsync } from 'neverthrow';

import { runCranberryctl } from '../index.js';

/** Address of the API, with a free port. */
export const loopback = { address: '127.0.0.1', port: 0 };
/** Clock of the commands. */
export const timers = createSystemTimerService();
/** Folder of the settings files. */
export const folder = mkdtempSync(join(tmpdir(), 'cranberry-operator-'));

/** A control replica with its administration API, and its operator. */
export interface TestApi {
  readonly node: ControlNode;
  readonly server: AdministrationServer;
  readonly settings: string;
  close(): Promise<void>;
  run(...commandLine: readonly string[]): Promise<CommandRun>;
}

/** Exit codes and output of one command. */
export interface CommandRun {
  readonly exits: readonly number[];
  readonly text: string;
}

/** Runs one command of `cranberryctl` with a settings file. */
export async function runCommand(
  settings: string,
  commandLine: readonly string[],
): Promise<CommandRun> {
  const output: string[] = [];
  const exits: number[] = [];
  const host: ProgramHost = {
    commandLine: ['--settings', settings, '--no-color', ...commandLine],
    writeOutput: text => output.push(text),
    writeError: text => output.push(text),
    onStopSignal: () => undefined,
    onUnexpectedError: () => undefined,
    exit: code => exits.push(code),
  };
  await runCranberryctl(host);
  return { exits, text: output.join('') };
}

/** Writes the settings of an operator; returns their path. */
export function writeSettings(
  name: string,
  token: string,
  administration: readonly string[],
): string {
  const tokenFile = join(folder, `${name}.token`);
  const file = join(folder, `${name}.json`);
  writeFileSync(tokenFile, token);
  writeFileSync(
    file,
    JSON.stringify({ administration, tokenFile, timeoutMilliseconds: 4_000 }),
  );
  return file;
}

/** Returns the base URL of an address. */
export function toUrl({
  address,
  port,
}: {
  address: string;
  port: number;
}): string {
  return `http://${address}:${String(port)}`;
}

/** Starts a control replica with a log in memory, and its API with one operator. */
export async function startApi(
  name: string,
  controlTimers: TimerService = timers,
  dataCentres?: readonly string[],
): Promise<TestApi> {
  const network = createMemoryNetwork(timers);
  const started = await startControl({
    listen: loopback,
    joinNetwork: replica =>
      network.join({
        role: ProcessRole.Control,
        name: replica,
        incarnation: 'run',
      }),
    timers: controlTimers,
    peers: [],
    dataCentres,
    openLog: stateMachine =>
      okAsync(
        createMemoryLog({
          replicaId: 'c1',
          stateMachine,
          timers: controlTimers,
        }),
      ),
    logger: createSilentLogger(),
    decisions: () => undefined,
  });
  const node = started._unsafeUnwrap();
  const token = createToken();
  const served = await serveAdministration(
    {
      node,
      timers,
      metrics: createMetrics({ role: 'control', process: 'c1', timers }),
      operators: [{ name: 'linh', tokenDigests: [digestToken(token)] }],
    },
    loopback,
  );
  const server = served._unsafeUnwrap();
  const settings = writeSettings(name, token, [toUrl(server.address)]);
  return {
    node,
    server,
    settings,
    close: async () => {
      await server.close();
      await node.stop();
    },
    run: (...commandLine) => runCommand(settings, commandLine),
  };
}
