import test from 'ava';

import { startApi, timers } from './fakes/test-api.js';

test('an operator evacuates a data centre, lists it and ends the evacuation', async t => {
  const api = await startApi('evacuation', timers, ['east', 'west']);
  const runs = [
    await api.run('evacuate', 'east'),
    await api.run('evacuate', 'east'),
    await api.run('evacuations'),
    await api.run('end-evacuation', 'east'),
    await api.run('evacuations'),
  ];
  t.deepEqual(
    runs.flatMap(({ exits }) => exits),
    [],
  );
  const time = /\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z/;
  t.snapshot(runs.map(({ text }) => text.replace(time, 'TIME')));
  const listed = await api.run('--json', 'evacuations');
  t.deepEqual(JSON.parse(listed.text), { version: 2, evacuations: [] });
  await api.close();
});

test('an unknown data centre, or one on hosts without the setting, exits with 2 and a clear error', async t => {
  const enabled = await startApi('evacuation-unknown', timers, ['east']);
  const disabled = await startApi('evacuation-disabled');
  const runs = [
    await enabled.run('evacuate', 'north'),
    await disabled.run('evacuate', 'east'),
    await disabled.run('evacuations'),
  ];
  t.deepEqual(
    runs.map(({ exits }) => exits),
    [[2], [2], [2]],
  );
  t.snapshot(runs.map(({ text }) => text));
  t.is(enabled.node.state.evacuations.state.version, 0);
  await enabled.close();
  await disabled.close();
});
