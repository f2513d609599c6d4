import type { TargetLoad } from '@cranberryturn/types';
import { FromTargetKind, type FromTargetMessage } from '@cranberryturn/wire';
import test from 'ava';

import { ServedDispatchers } from './served-dispatchers.js';

const load: TargetLoad = { freeSlots: 1, queuedTasks: 0, draining: false };
const usage = {
  ageMilliseconds: 700,
  processors: 3,
  memoryMebibytes: 192,
  accelerators: 0,
};

test('each usage reading is included in one load report per dispatcher', t => {
  let readings = 0;
  const sent: (typeof usage | undefined)[] = [];
  const dispatchers = new ServedDispatchers({
    announcement: {
      targetId: 'worker-1',
      incarnation: 'run-1',
      service: 'register-svc',
      host: 'host-1',
      rack: 'rack-1',
      dataCentre: 'dong-da',
      resources: { processors: 64, memoryMebibytes: 1_024, accelerators: 0 },
      slots: 8,
      connections: 64,
    },
    load: () => load,
    usage: {
      latest: () => (readings === 0 ? undefined : usage),
      readingCount: () => readings,
      stop: () => undefined,
    },
  });
  const keep = (message: FromTargetMessage): void => {
    if (message.kind === FromTargetKind.LoadReport)
      sent.push(message.load.usage);
  };
  dispatchers.add('dispatcher-1', keep);
  dispatchers.add('dispatcher-2', keep);
  dispatchers.reportLoadToAll();
  readings = 1;
  dispatchers.reportLoadToAll();
  dispatchers.reportLoadToAll();
  readings = 2;
  dispatchers.reportLoadToAll();
  const none = [undefined, undefined];
  const all = [usage, usage];
  t.deepEqual(sent, [...none, ...all, ...none, ...all]);
});
