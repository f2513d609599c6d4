/** Prepares the files and ports that the processes of a local system share. */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { createSharedKey } from '@cranberryturn/authentication';
import type { LocalSettings } from '@cranberryturn/settings';

import type { LocalLayout } from './compose-settings.js';
import { findFreePorts } from './find-free-ports.js';

const ownerOnly = 0o600;

/** The layout of a local system with its clean-up. */
export interface PreparedLayout {
  readonly layout: LocalLayout;
  /** Deletes the folder if it is temporary; a folder named in the settings stays. */
  remove(): void;
}

/**
 * Creates the folder with a new shared key and the initial configuration, and chooses a free port
 * for each control replica.
 */
export async function prepareLayout(
  settings: LocalSettings,
): Promise<PreparedLayout> {
  const folder = settings.dataFolder ?? createTemporaryFolder();
  mkdirSync(folder, { recursive: true });
  const sharedKeyFile = join(folder, 'shared.key');
  writeFileSync(sharedKeyFile, createSharedKey(), { mode: ownerOnly });
  const initialConfigurationFile = join(folder, 'initial-configuration.jsonc');
  writeFileSync(
    initialConfigurationFile,
    JSON.stringify(composeConfiguration(settings), null, 2),
  );
  // The replicas must know each other's ports before they listen.
  const ports = await findFreePorts(settings.address, settings.controlReplicas);
  const controlPeers = ports.map(port => ({ address: settings.address, port }));
  const remove = (): void => {
    if (settings.dataFolder !== undefined) return;
    rmSync(folder, { recursive: true, force: true });
  };
  return {
    layout: { folder, sharedKeyFile, initialConfigurationFile, controlPeers },
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
