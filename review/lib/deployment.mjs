/** Starts a small deployment of the platform's programs as separate processes, with the commands of the deploy file. */
import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

import { call } from './http.mjs';

export const root = fileURLToPath(new URL('../../', import.meta.url));
export const service = 'register-svc';
export const queueHost = 'review.example';
export const queuePrefix = '/lease/';

const keptLines = 20_000;
const startTimeout = 20_000;
const zones = ['hoan-kiem', 'dong-da', 'cau-giay'];

/** Bounds of the small site `pho-trong-register`. */
export const bounds = {
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
  early_ms: 250,
  status_s: 120,
  remote_factor: 1.5,
  resend_ms: 1300,
};

/** Reads the commands of the roles from the deploy file. */
function readRoles() {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const roles = {};
  for (const [, name, run] of text.matchAll(
    /\[roles\.(\w+)\]\s+run = "([^"]*)"/g,
  ))
    roles[name] = run;
  return roles;
}

function fillCommand(run, settings) {
  return run
    .split(' ')
    .map(word =>
      word.replace(/\{\{([^}]*)\}\}/g, (_, key) => settings[key] ?? ''),
    );
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen({ host, port }, () => server.close(() => resolve(true)));
  });
}

/** Finds a loopback network of our own and ports that are free on all of its addresses. */
async function findNetwork(addresses) {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const network = `127.${randomInt(10, 250)}.${randomInt(1, 250)}`;
    const first = randomInt(20_000, 29_000);
    const ports = {
      frontend: first,
      ready: first + 1,
      control: first + 2,
      app: first + 3,
      internal: first + 10,
    };
    const wanted = [
      first,
      first + 1,
      first + 2,
      first + 3,
      first + 10,
      first + 11,
    ];
    const checks = addresses.flatMap(last =>
      wanted.map(port => isFree(`${network}.${last}`, port)),
    );
    if ((await Promise.all(checks)).every(Boolean)) return { network, ports };
  }
  throw new Error('no free ports');
}

/** Starts all processes; resolves once a configuration is in force and each dispatcher is ready. */
export async function startDeployment({
  fronts = 3,
  sides = 4,
  record,
  startWorker,
}) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const roles = readRoles();
  const frontNumbers = Array.from({ length: fronts }, (_, index) => index + 1);
  const sideNumbers = Array.from({ length: sides }, (_, index) => index + 101);
  const { network, ports } = await findNetwork([
    ...frontNumbers,
    ...sideNumbers,
  ]);
  const ip = number => `${network}.${number}`;
  const children = new Set();
  let isFirstStart = true;
  let isStopping = false;

  const composeSettings = (number, role) => {
    const isFront = number < 100;
    const zone = zones[number % zones.length];
    return {
      node_name: `${isFront ? 'frontend' : 'side'}-${zone}-${number}`,
      role,
      machine_class: isFront ? 'frontend' : 'side',
      serves: role === 'dispatcher' ? 'frontend' : isFront ? 'control' : 'side',
      ip: ip(number),
      zone,
      region: 'hanoi',
      ...Object.fromEntries(zones.map(name => [`zones.${name}`, 'hanoi'])),
      ...(role === 'dispatcher'
        ? {
            'bind_addresses.frontend': `${ip(number)}:${ports.frontend}`,
            'bind_addresses.ready': `${ip(number)}:${ports.ready}`,
          }
        : { 'bind_addresses.control_plane': `${ip(number)}:${ports.control}` }),
      internal_port_range: `${ports.internal},${ports.internal + 15}`,
      seed_nodes: frontNumbers
        .slice(0, 3)
        .map(front => `${ip(front)}:${ports.control}`)
        .join(','),
      bootstrap: String(isFirstStart),
      fault_domain_member: String(isFront),
      'limits.cpu_share': '0.675',
      'limits.cores': isFront ? '2' : '1',
      'limits.memory_mb': '350',
      'limits.max_fds': '4100',
      ...(isFront ? { data_dir: join(folder, `data-${number}-${role}`) } : {}),
      discovery: 'local',
      entrypoint: 'vip',
      heartbeat_ms: '1500',
      contracts: 'base,drain,config,cost,recover,sched,advice,upkeep,sharing',
      'fault_tolerance.machines': '1',
      'fault_tolerance.zones': '0',
      'fault_tolerance.regions': '0',
      ...Object.fromEntries(
        Object.entries(bounds).map(([name, value]) => [
          `bounds.${name}`,
          String(value),
        ]),
      ),
      config_mode: 'highest',
      control_mode: 'call',
      ...(isFront ? {} : { app: `${ip(number)}:${ports.app}`, service }),
    };
  };

  const createProcess = (number, role) => {
    const path = join(folder, `${role}-${number}.conf`);
    const lines = [];
    const created = { number, role, ip: ip(number), child: undefined, lines };
    created.writeSettings = (changes = {}) => {
      const settings = { ...composeSettings(number, role), ...changes };
      if (settings.data_dir !== undefined)
        mkdirSync(settings.data_dir, { recursive: true });
      const text = Object.entries(settings).map(
        ([key, value]) => `${key}=${value}\n`,
      );
      writeFileSync(path, text.join(''));
      return settings;
    };
    created.start = () => {
      const [program, ...words] = fillCommand(
        roles[role],
        created.writeSettings(),
      );
      const child = spawn(
        program === 'node' ? process.execPath : program,
        words,
        {
          cwd: root,
          env: {
            PATH: process.env.PATH,
            HOME: folder,
            CRANBERRYTURN_BOOT: path,
          },
          stdio: ['ignore', 'pipe', 'pipe'],
        },
      );
      created.child = child;
      children.add(child);
      for (const stream of [child.stdout, child.stderr])
        createInterface({ input: stream }).on('line', line => {
          lines.push(line);
          if (lines.length > keptLines) lines.shift();
        });
      created.gone = new Promise(resolve => {
        child.once('exit', (code, signal) => {
          children.delete(child);
          if (!isStopping && created.isExpected !== child)
            record.write(
              `process ${role}-${number} ended by itself: ${signal ?? code}`,
              {
                tail: lines.slice(-3),
              },
            );
          resolve();
        });
      });
    };
    created.signal = signal => {
      if (signal === 'SIGKILL' || signal === 'SIGTERM')
        created.isExpected = created.child;
      record.write(`${signal} to ${role}-${number}`);
      created.child?.kill(signal);
    };
    return created;
  };

  const processes = [
    ...frontNumbers.map(number => createProcess(number, 'control')),
    ...frontNumbers.map(number => createProcess(number, 'dispatcher')),
    ...sideNumbers.map(number => createProcess(number, 'sidecar')),
  ];
  const find = (role, number) =>
    processes.find(one => one.role === role && one.number === number);
  const workers = [];
  const killAll = () => {
    isStopping = true;
    for (const child of children) child.kill('SIGKILL');
  };
  process.once('exit', () => {
    killAll();
    rmSync(folder, { recursive: true, force: true });
  });

  let version = 0;
  const composeConfiguration = (changes = {}) => ({
    version,
    routes: [
      {
        name: 'r-lease',
        host: queueHost,
        path_prefix: queuePrefix,
        kind: 'non_idempotent',
        timeout_ms: 20_000,
        target_latency_ms: 60,
        priority: 0,
        service,
        max_attempts: 4,
        slack_factor: 1.6,
      },
    ],
    services: [
      {
        name: service,
        health_path: '/healthz',
        max_connections: 64,
        protocol: 'h1',
        tls: false,
        rejects_overload: false,
        standby: false,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 262_144,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    ...changes,
  });
  const publish = async changes => {
    version += 1;
    const body = JSON.stringify(composeConfiguration(changes));
    const endsAt = Date.now() + startTimeout;
    for (let attempt = 0; Date.now() < endsAt; attempt += 1) {
      const front = frontNumbers[attempt % frontNumbers.length];
      const reply = await call({
        host: ip(front),
        port: ports.control,
        method: 'PUT',
        path: '/cranberryturn/config',
        body,
        timeout: 1000,
      }).catch(() => undefined);
      if (reply?.status === 200) {
        record.write(
          `configuration ${version} acknowledged by frontend ${front}`,
        );
        return;
      }
      await sleep(200);
    }
    throw new Error('no configuration was acknowledged');
  };
  const waitReady = async () => {
    const endsAt = Date.now() + startTimeout;
    for (const front of frontNumbers) {
      for (;;) {
        const reply = await call({
          host: ip(front),
          port: ports.ready,
          path: '/cranberryturn/readyz',
          timeout: 1000,
        }).catch(() => undefined);
        if (reply?.status === 200) break;
        if (Date.now() > endsAt) throw new Error('a dispatcher is not ready');
        await sleep(100);
      }
    }
  };

  const stop = async () => {
    killAll();
    await Promise.all(processes.map(one => one.gone));
    await Promise.all(workers.map(worker => worker.close()));
    rmSync(folder, { recursive: true, force: true });
  };

  try {
    for (const number of sideNumbers) {
      const worker = await startWorker({
        ip: ip(number),
        port: ports.app,
        sidecar: { host: ip(number), port: ports.control },
        zone: zones[number % zones.length],
        name: `i-${number}`,
      });
      workers.push(worker);
    }
    for (const one of processes) one.start();
    await publish();
    isFirstStart = false;
    for (const one of processes) one.writeSettings();
    await waitReady();
    await sleep(1500);
  } catch (error) {
    await stop();
    throw error;
  }
  return {
    fronts: frontNumbers.map(number => ({
      host: ip(number),
      port: ports.frontend,
      number,
    })),
    sides: sideNumbers,
    workers,
    ports,
    ip,
    find,
    publish,
    stop,
  };
}
