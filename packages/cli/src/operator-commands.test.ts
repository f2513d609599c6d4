import { readFileSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';

import { createToken } from '@cranberryturn/authentication';
import { OperationKind } from '@cranberryturn/control';
import { createManualTimerService, sleep } from '@cranberryturn/timers';
import { ControlMethod, registrationLease } from '@cranberryturn/wire';
import test from 'ava';

import {
  folder,
  loopback,
  runCommand,
  startApi,
  timers,
  toUrl,
  writeSettings,
} from './fakes/test-api.js';

function getPlanId(text: string): string {
  return /cranberryctl confirm (\S+)/.exec(text)?.[1] ?? '';
}

/** Starts a proxy that drops the response to the first confirm. */
function startLossyProxy(target: string): Promise<Server> {
  let lost = false;
  const server = createServer((incoming, outgoing) => {
    const chunks: Buffer[] = [];
    incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
    incoming.on('end', () => {
      const drops = !lost && incoming.url?.endsWith('/confirm') === true;
      lost ||= drops;
      void fetch(`${target}${incoming.url ?? ''}`, {
        method: incoming.method ?? 'GET',
        headers: { authorization: incoming.headers.authorization ?? '' },
        ...(chunks.length === 0 ? {} : { body: Buffer.concat(chunks) }),
      }).then(async answer => {
        const body = await answer.text();
        if (drops) outgoing.destroy();
        else outgoing.writeHead(answer.status).end(body);
      });
    });
  });
  return new Promise(resolve => {
    server.listen(0, loopback.address, () => {
      resolve(server);
    });
  });
}

test('an operator plans and confirms a change, and reads status and history', async t => {
  const api = await startApi('whole');
  const planned = await api.run(
    'plan',
    'set-quota',
    'traders',
    '--weight',
    '2',
  );
  t.snapshot(planned.text);
  const confirmed = await api.run('confirm', getPlanId(planned.text), '--wait');
  t.snapshot(confirmed.text);
  t.deepEqual([...planned.exits, ...confirmed.exits], []);
  const status = await api.run('status');
  t.snapshot(status.text);
  const history = await api.run('--json', 'history');
  const { changes } = JSON.parse(history.text) as {
    changes: { operator: string; version: number }[];
  };
  t.is(changes[0]?.operator, 'linh');
  t.is(changes[0]?.version, 1);
  await api.close();
});

test('claim retention can be set, and one that outlasts the records of ended runs is refused', async t => {
  const api = await startApi('retention');
  const plan = (maximum: string, answered: string) =>
    api.run(
      'plan',
      'set-claim-retention',
      maximum,
      '--answered-seconds',
      answered,
      '--unanswered-seconds',
      '3600',
    );
  const planned = await plan('4500000', '600');
  await api.run('confirm', getPlanId(planned.text));
  t.deepEqual(api.node.state.configuration.configuration.claimRetention, {
    finishedMilliseconds: 600_000,
    unfinishedMilliseconds: 3_600_000,
    maximumClaims: 4_500_000,
  });
  const refused = [await plan('4500000', '7200'), await plan('none', '600')];
  t.deepEqual(
    refused.map(({ exits }) => exits),
    [[2], [2]],
  );
  await api.close();
});

test('a waiting confirm succeeds once the lease of a dead dispatcher has expired', async t => {
  const controlTimers = createManualTimerService();
  const api = await startApi('lease', controlTimers);
  await api.node.proposer.submit({
    kind: OperationKind.Call,
    call: {
      method: ControlMethod.RegisterDispatcher,
      dispatcher: {
        dispatcherId: 'd1',
        incarnation: 'run-1',
        address: loopback,
      },
    },
  });
  const planned = await api.run('plan', 'set-quota', 'wards', '--weight', '1');
  const confirming = api.run('confirm', getPlanId(planned.text), '--wait');
  while (api.node.state.configuration.configuration.version === 0) {
    await sleep(timers, 10);
  }
  await controlTimers.advance(registrationLease + 2_000);
  const { exits, text } = await confirming;
  t.deepEqual(exits, []);
  t.regex(text, /in force|No dispatcher is registered/);
  await api.close();
});

test('the second of two plans on one base version exits with 3 and names the accepted change', async t => {
  const api = await startApi('race');
  const left = await api.run('plan', 'set-service', 'register-svc');
  const right = await api.run('plan', 'set-service', 'marcacoes');
  await api.run('confirm', getPlanId(left.text));
  const lost = await api.run('confirm', getPlanId(right.text));
  t.deepEqual(lost.exits, [3]);
  t.regex(
    lost.text,
    /linh changed the configuration first: set-service, version 1/,
  );
  await api.close();
});

test('invalid intents exit with 2 and change nothing', async t => {
  const api = await startApi('refused');
  const refusals = [
    await api.run('plan', 'drain-worker', 'nobody'),
    await api.run('plan', 'drain-rack', 'nowhere'),
    await api.run('plan', 'set-quota', 'traders', '--weight', 'heavy'),
    await api.run('plan', 'set-limit', 'register-svc'),
    await api.run('confirm', 'v0~abc~0123456789abcdef'),
  ];
  t.deepEqual(
    refusals.map(({ exits }) => exits),
    refusals.map(() => [2]),
  );
  t.snapshot(refusals.map(({ text }) => text));
  t.is(api.node.state.configuration.configuration.version, 0);
  await api.close();
});

test('a confirm is retried with the same request identifier after a lost response', async t => {
  const api = await startApi('lossy');
  const lossyProxy = await startLossyProxy(toUrl(api.server.address));
  const { port } = lossyProxy.address() as AddressInfo;
  const planned = await api.run('plan', 'set-quota', 'wards', '--weight', '1');
  const settings = JSON.parse(readFileSync(api.settings, 'utf8')) as {
    administration: string[];
  };
  settings.administration = [
    'http://127.0.0.1:1',
    `http://127.0.0.1:${String(port)}`,
  ];
  const file = join(folder, 'lossy-2.json');
  writeFileSync(file, JSON.stringify(settings));
  const confirmed = await runCommand(file, [
    'confirm',
    getPlanId(planned.text),
  ]);
  t.deepEqual(confirmed.exits, []);
  t.regex(confirmed.text, /accepted as version 1/);
  t.is(api.node.state.configuration.configuration.version, 1);
  lossyProxy.close();
  await api.close();
});

test('an unknown token is refused with a hint', async t => {
  const api = await startApi('stranger');
  const settings = writeSettings('stranger-2', createToken(), [
    toUrl(api.server.address),
  ]);
  const { exits, text } = await runCommand(settings, ['status']);
  t.deepEqual(exits, [2]);
  t.regex(text, /cranberryctl token create/);
  await api.close();
});
