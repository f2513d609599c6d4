/**
 * Starts a small deployment of the project's own programs as separate processes, with the commands of the deploy file,
 * on loopback addresses and the real clock.
 */
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export const root = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
/** A script may take 120 s. */
const longestMilliseconds = 118_000;
export { sleep };
export const now = () => performance.now();

/** Reads the command of each role from the deploy file. */
function readCommands() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const commands = new Map();
  for (const section of text.split(/^\[roles\./m).slice(1)) {
    const role = section.slice(0, section.indexOf(']'));
    commands.set(role, /^run = "(.*)"$/m.exec(section)[1]);
  }
  return commands;
}

/** Returns a network 127.x.y of which nobody uses an address. */
async function chooseNetwork(port) {
  for (;;) {
    const draw = () => 1 + Math.floor(Math.random() * 250);
    const network = `127.${draw()}.${draw()}`;
    const isFree = await new Promise(resolve => {
      const server = createServer();
      server.once('error', () => resolve(false));
      server.listen(port, `${network}.1`, () => {
        server.close(() => resolve(true));
      });
    });
    if (isFree) return network;
  }
}

/** Writes what happens to the record of a case. */
export function createRecord(folder) {
  const path = join(folder, 'record.txt');
  const startedAt = now();
  writeFileSync(path, '');
  return text => {
    const at = ((now() - startedAt) / 1_000).toFixed(3).padStart(8);
    appendFileSync(path, `${at} ${text}\n`);
  };
}

/**
 * Creates a deployment: `hosts` entry hosts with a dispatcher each, of which the first `control` run control and the first `disks` have
 * a disk, and `sides` hosts with a sidecar each. Each process is started by the caller.
 */
export async function createDeployment({
  hosts = 3,
  control = 3,
  /** Control hosts with a disk, the first ones. */
  disks = control,
  /** Positions of the hosts that the settings name as seeds. */
  seedPositions = Array.from({ length: Math.min(3, control) }, (_, one) => one),
  sides = 1,
  zones = ['north'],
  memory = 350,
  sideMemory = 218,
  bounds = {},
  extra = [],
}) {
  const ports = {
    frontend: 8_161,
    ready: 8_167,
    controlPlane: 8_166,
    worker: 8_569,
    internal: [7_720, 7_735],
  };
  const network = await chooseNetwork(ports.controlPlane);
  const folder = mkdtempSync(join(tmpdir(), 'cranberry-review-'));
  const commands = readCommands();
  const processes = [];
  let isFirstStart = true;
  const allBounds = {
    seed_lag_s: 3,
    reuse_after_s: 2,
    contact_ms: 3000,
    ack_ms: 4000,
    catch_up_s: 4,
    drain_ms: 2000,
    grace_s: 6,
    loss_slack_ms: 200,
    config_apply_ms: 2000,
    rollback_slack_ms: 250,
    max_skew_ms: 5000,
    recovery_s: 12,
    hold_max_ms: 1000,
    stop_ms: 50,
    cancel_ms: 3000,
    visible_ms: 3000,
    remote_factor: 1.5,
    resend_ms: 1300,
    ...bounds,
  };
  const entryIp = position => `${network}.${1 + position}`;
  const sideIp = position => `${network}.${101 + position}`;
  const zoneOf = position => zones[position % zones.length];
  const seeds = seedPositions.map(
    position => `${entryIp(position)}:${ports.controlPlane}`,
  );

  const createProcess = (role, position) => {
    const isSide = role === 'sidecar';
    const ip = isSide ? sideIp(position) : entryIp(position);
    const name = `${isSide ? 'side' : 'frontend'}-${1 + position}`;
    const hasDisk = !isSide && position < disks;
    const dataFolder = hasDisk ? join(folder, `data-${position}-${role}`) : '';
    if (hasDisk) mkdirSync(dataFolder, { recursive: true });
    const settingsPath = join(folder, `${role}-${position}.conf`);
    const logPath = join(folder, `${role}-${position}.log`);
    const values = {
      'bind_addresses.frontend': `${ip}:${ports.frontend}`,
      'bind_addresses.ready': `${ip}:${ports.ready}`,
      'bind_addresses.control_plane': `${ip}:${ports.controlPlane}`,
      data_dir: dataFolder,
    };
    const writeSettings = (more = []) => {
      writeFileSync(
        settingsPath,
        [
          `node_name=${name}`,
          `role=${role}`,
          `machine_class=${isSide ? 'side' : 'frontend'}`,
          `ip=${ip}`,
          `zone=${zoneOf(position)}`,
          'region=land',
          ...zones.map(zone => `zones.${zone}=land`),
          ...Object.entries(values).map(([key, value]) => `${key}=${value}`),
          ...(isSide ? [`app=${ip}:${ports.worker}`] : []),
          `internal_port_range=${ports.internal.join(',')}`,
          `seed_nodes=${seeds.join(',')}`,
          `bootstrap=${String(isFirstStart)}`,
          `fault_domain_member=${String(hasDisk)}`,
          'limits.cpu_share=0.675',
          `limits.cores=${hasDisk ? 2 : 1}`,
          `limits.memory_mb=${isSide ? sideMemory : memory}`,
          'limits.max_fds=4100',
          'discovery=local',
          'entrypoint=vip',
          'heartbeat_ms=1500',
          'control_mode=call',
          'config_mode=highest',
          'fault_tolerance.machines=1',
          'fault_tolerance.zones=0',
          'fault_tolerance.regions=0',
          ...Object.entries(allBounds).map(
            ([key, value]) => `bounds.${key}=${value}`,
          ),
          ...extra,
          ...more,
          '',
        ].join('\n'),
      );
    };
    let child;
    let ended = Promise.resolve();
    const handle = {
      role,
      name,
      ip,
      logPath,
      get pid() {
        return child?.pid;
      },
      get isRunning() {
        return child !== undefined && child.exitCode === null;
      },
      writeSettings,
      start: (more = []) => {
        writeSettings(more);
        const words = commands
          .get(role)
          .split(' ')
          .map(word =>
            word.replace(/\{\{([^}]*)\}\}/g, (_, key) => values[key] ?? ''),
          );
        const [program, ...args] = words;
        const log = createWriteStream(logPath, { flags: 'a' });
        const started = spawn(program, args, {
          cwd: root,
          env: {
            PATH: process.env.PATH,
            HOME: process.env.HOME,
            LANG: process.env.LANG ?? 'C',
            CRANBERRYTURN_BOOT: settingsPath,
          },
          stdio: ['ignore', 'pipe', 'pipe'],
        });
        child = started;
        started.stdout.pipe(log);
        started.stderr.pipe(log);
        ended = new Promise(resolve => {
          started.once('exit', (code, signal) => {
            handle.lastExit = { code, signal };
            handle.onExit?.({ code, signal });
            resolve();
          });
        });
        handle.lastExit = undefined;
      },
      signal: signal => {
        if (handle.isRunning && handle.lastExit === undefined)
          child.kill(signal);
      },
      kill: async () => {
        if (child === undefined) return;
        handle.signal('SIGCONT');
        handle.signal('SIGKILL');
        await ended;
      },
      whenEnded: () => ended,
    };
    processes.push(handle);
    return handle;
  };

  /** Ends the processes of a script that is ended itself, or takes too long. */
  const giveUp = () => {
    for (const one of processes) {
      one.signal('SIGCONT');
      one.signal('SIGKILL');
    }
    rmSync(folder, { recursive: true, force: true });
    process.exit(2);
  };
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'])
    process.once(signal, giveUp);
  const limit = setTimeout(giveUp, longestMilliseconds);

  const positions = count => Array.from({ length: count }, (_, one) => one);
  return {
    network,
    folder,
    ports,
    seeds,
    control: positions(control).map(one => createProcess('control', one)),
    dispatchers: positions(hosts).map(one => createProcess('dispatcher', one)),
    sidecars: positions(sides).map(one => createProcess('sidecar', one)),
    entryIp,
    sideIp,
    zoneOf,
    processes,
    startAll: () => {
      for (const one of processes) one.start();
    },
    endFirstStart: () => {
      isFirstStart = false;
      for (const one of processes) one.writeSettings();
    },
    stop: async ({ keep = false } = {}) => {
      clearTimeout(limit);
      await Promise.all(processes.map(one => one.kill()));
      if (!keep) rmSync(folder, { recursive: true, force: true });
    },
  };
}
