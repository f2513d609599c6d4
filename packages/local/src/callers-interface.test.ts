import { createSystemTimerService, sleep } from '@cranberryturn/timers';
import { maximumAnswerBytes, type NetworkAddress } from '@cranberryturn/types';

import {
  composeRequestHead,
  openRawCaller,
  type RawCaller,
} from './fakes/raw-caller.js';
import {
  bodyBytes,
  callersConnections,
  getCallersAddress,
  composeJob,
  countStarts,
  jobsPath,
  createWatchedTest,
  submitJob,
} from './fakes/watched-system.js';

const pollMilliseconds = 10;
/** Room for the JSON around the padding of an answer. */
const envelopeBytes = 500;

const test = createWatchedTest();

/** Sends the head, then one byte every 100 ms until the connection closes. */
function sendSlowly(address: NetworkAddress, head: string): RawCaller {
  const caller = openRawCaller(address, head);
  const timer = setInterval(() => {
    if (caller.socket.writable) caller.socket.write(' ');
  }, 100);
  void caller.ended.then(() => {
    clearInterval(timer);
  });
  return caller;
}

test.serial(
  'requests that cannot be accepted are refused, and other callers are still served',
  async t => {
    const { system } = t.context;
    const { token, address } = {
      token: system.tokens.team,
      address: getCallersAddress(system),
    };
    const head = (bytes: number | undefined, bearer = token): string =>
      composeRequestHead(jobsPath, bearer, bytes);
    const composeRequest = (body: unknown, bearer = token): string => {
      const text = typeof body === 'string' ? body : JSON.stringify(body);
      return head(Buffer.byteLength(text), bearer) + text;
    };
    const job = composeJob('refused');
    const [first] = job.tasks;
    const chunk = `${(16_384).toString(16)}\r\n${' '.repeat(16_384)}\r\n`;
    const cases: Record<string, () => RawCaller> = {
      'a body that trickles': () => sendSlowly(address, `${head(10_000)}{`),
      'a body in chunks that trickles': () =>
        sendSlowly(address, `${head(undefined)}ffff\r\n`),
      'a body that stops': () =>
        openRawCaller(address, `${head(10_000)}{"jobId":"refused"`),
      'headers that stop': () => openRawCaller(address, head(10).slice(0, -4)),
      'a body larger than the limit': () =>
        openRawCaller(address, composeRequest(' '.repeat(bodyBytes + 1))),
      'chunks larger than the limit': () =>
        openRawCaller(address, `${head(undefined)}${chunk.repeat(5)}`),
      'malformed JSON': () =>
        openRawCaller(address, composeRequest('{"jobId":')),
      'an empty job': () =>
        openRawCaller(address, composeRequest({ ...job, tasks: [] })),
      '201 tasks': () =>
        openRawCaller(address, composeRequest(composeJob('refused', 201))),
      'a doubled taskId': () =>
        openRawCaller(
          address,
          composeRequest({ ...job, tasks: [first, first] }),
        ),
      'a wrong token': () =>
        openRawCaller(address, composeRequest(job, 'cbt_wrong')),
      'no token': () =>
        openRawCaller(
          address,
          composeRequestHead(jobsPath, undefined, 2) + '{}',
        ),
      'no HTTP': () => openRawCaller(address, 'HELLO\r\n\r\n'),
    };
    let answered = 0;
    for (const [name, send] of Object.entries(cases)) {
      const caller = send();
      const other = await submitJob(system, composeJob(`beside ${name}`));
      t.is(other.status, 200, name);
      answered += other.body.answers?.length ?? 0;
      const { status, text } = await caller.reply;
      caller.socket.destroy();
      t.true(text.includes('"started":"no"'), `${name}: ${text}`);
      t.snapshot({ status, body: JSON.parse(text) as unknown }, name);
      t.is(countStarts(system), answered, name);
    }
  },
);

test.serial(
  'a jobId that is reused with another body is a conflict at every dispatcher',
  async t => {
    const { system } = t.context;
    t.is((await submitJob(system, composeJob('used'))).status, 200);
    for (const dispatcher of [0, 1]) {
      const other = await submitJob(system, composeJob('used', 2), dispatcher);
      t.is(other.status, 409);
      t.is(other.body.started, 'no');
    }
    t.is(countStarts(system), 3);
  },
);

test.serial(
  'answers of the maximum size arrive complete, and larger ones fail the job',
  async t => {
    const { system } = t.context;
    const answerBytes = maximumAnswerBytes - envelopeBytes;
    const { status, body } = await submitJob(
      system,
      composeJob('large', 8, { runMilliseconds: 10, answerBytes }),
    );
    t.is(status, 200);
    t.deepEqual(
      body.answers?.map(({ answer }) => answer.padding.length),
      Array.from({ length: 8 }, () => answerBytes),
    );
    const tooLarge = await submitJob(
      system,
      composeJob('too-large', 2, {
        runMilliseconds: 10,
        answerBytes: maximumAnswerBytes,
      }),
    );
    t.is(tooLarge.status, 502);
    t.is(tooLarge.body.started, 'yes');
    t.is(tooLarge.body.answers, undefined);
  },
);

test.serial(
  'connections above the limit are closed while all others have requests in progress, and those are still served',
  async t => {
    const { system } = t.context;
    const address = getCallersAddress(system);
    const startsBefore = countStarts(system);
    const callers = Array.from(
      { length: callersConnections },
      (_, position) => {
        const job = JSON.stringify(
          composeJob(`in progress ${String(position)}`, 1, {
            runMilliseconds: 3_000,
          }),
        );
        const head = composeRequestHead(
          jobsPath,
          system.tokens.team,
          Buffer.byteLength(job),
        );
        return openRawCaller(address, head + job);
      },
    );
    while (countStarts(system) < startsBefore + callersConnections)
      await sleep(createSystemTimerService(), pollMilliseconds);
    const health = 'GET /healthz HTTP/1.1\r\nhost: dispatcher\r\n\r\n';
    const surplus = openRawCaller(address, health);
    t.is(await surplus.ended, '');
    t.is((await submitJob(system, composeJob('elsewhere'), 1)).status, 200);
    callers[0]?.socket.destroy();
    let status = 0;
    while (status !== 200) {
      const next = openRawCaller(address, health);
      ({ status } = await next.reply);
      next.socket.destroy();
      await sleep(createSystemTimerService(), pollMilliseconds);
    }
    t.is(status, 200);
    for (const { socket, reply } of callers.slice(1)) {
      t.is((await reply).status, 200);
      socket.destroy();
    }
  },
);

test.serial(
  'a connection above the limit replaces the one that has been idle for longest',
  async t => {
    const { system } = t.context;
    const address = getCallersAddress(system);
    const health = 'GET /healthz HTTP/1.1\r\nhost: dispatcher\r\n\r\n';
    const callers: RawCaller[] = [];
    for (let opened = 0; opened < callersConnections; opened += 1) {
      const caller = openRawCaller(address, health);
      t.is((await caller.reply).status, 200);
      callers.push(caller);
    }
    const [longest, ...others] = callers;
    const surplus = openRawCaller(address, health);
    t.is((await surplus.reply).status, 200);
    await longest?.ended;
    t.true(others.every(({ socket }) => !socket.destroyed));
    for (const { socket } of [surplus, ...others]) socket.destroy();
  },
);
