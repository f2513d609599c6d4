/** Prepares what the processes of a local system share: folder, key, first configuration and ports. */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { type AddressInfo, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createSharedKey } from '@cranberryturn/authentication';
import type { LocalSettings } from '@cranberryturn/settings';
import type { NetworkAddress } from '@cranberryturn/types';

import type { LocalPlaces } from './compose-settings.js';

const ownerOnly = 0o600;

/** The places of a local system, with what removes them. */
export interface PreparedPlaces {
  readonly places: LocalPlaces;
  /** Removes the folder when it was a temporary one. */
  remove(): void;
}

/** Creates the folder with a fresh shared key, and chooses a free port for each control replica. */
export async function preparePlaces(
  settings: LocalSettings,
): Promise<PreparedPlaces> {
  const folder = settings.dataFolder ?? createTemporaryFolder();
  mkdirSync(folder, { recursive: true });
  const sharedKeyFile = join(folder, 'shared.key');
  writeFileSync(sharedKeyFile, createSharedKey(), { mode: ownerOnly });
  const initialConfigurationFile = join(folder, 'initial-configuration.jsonc');
  writeFileSync(
    initialConfigurationFile,
    JSON.stringify(composeConfiguration(settings), null, 2),
  );
  const controlPeers = await findFreePorts(
    settings.address,
    settings.controlReplicas,
  );
  const remove = (): void => {
    if (settings.dataFolder !== undefined) return;
    rmSync(folder, { recursive: true, force: true });
  };
  return {
    places: { folder, sharedKeyFile, initialConfigurationFile, controlPeers },
    remove,
  };
}

function createTemporaryFolder(): string {
  return mkdtempSync(join(tmpdir(), 'cranberry-local-'));
}

function composeConfiguration({ services, teams }: LocalSettings): unknown {
  return {
    services: services.map(({ service }) => ({ service })),
    teams: teams.map(({ team }) => ({ team })),
  };
}

/** Finds ports that are free at this moment; replicas must know each other's before they listen. */
async function findFreePorts(
  address: string,
  count: number,
): Promise<readonly NetworkAddress[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, () => listenAnywhere(address)),
  );
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports.map(port => ({ address, port }));
}

function listenAnywhere(address: string) {
  return new Promise<ReturnType<typeof createServer>>((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, address, () => {
      resolve(server);
    });
  });
}
