import { createRandomSource } from '@cranberryturn/random';
import { createManualTimerService } from '@cranberryturn/timers';
import { createMemoryNetwork, ProcessRole } from '@cranberryturn/wire';
import test from 'ava';

import { keepControlHost } from './control-host.js';

const address = { address: '10.0.0.1', port: 7_700 };

function startDialling(seed: number) {
  const timers = createManualTimerService();
  const network = createMemoryNetwork(timers, 1);
  const join = (role: ProcessRole, name: string) =>
    network.join({ role, name, incarnation: name });
  const host = keepControlHost({
    address,
    network: join(ProcessRole.Dispatcher, 'dispatcher'),
    timers,
    random: createRandomSource(seed),
    handleNotice: () => undefined,
  });
  return { timers, host, control: join(ProcessRole.Control, 'control') };
}

test('a control host that starts later than this process is reached soon after it listens', async t => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const { timers, host, control } = startDialling(seed);
    await timers.advance(900);
    t.is(host.calls(), undefined);
    await control.listen(address, () => undefined);
    await timers.advance(100);
    t.not(host.calls(), undefined);
    host.stop();
  }
});

test('pauses grow when a control host stays away', async t => {
  const { timers, host, control } = startDialling(1);
  await timers.advance(20_000);
  await control.listen(address, () => undefined);
  await timers.advance(100);
  t.is(host.calls(), undefined);
  await timers.advance(2_000);
  t.not(host.calls(), undefined);
  host.stop();
});
