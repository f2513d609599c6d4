import test from 'ava';

import { createVolatileLogDisk } from './volatile-log-disk.js';

function readText(bytes: Uint8Array | undefined): string | undefined {
  return bytes === undefined ? undefined : Buffer.from(bytes).toString();
}

test('files hold what was appended, truncated and replaced', async t => {
  const disk = createVolatileLogDisk();
  const read = async (): Promise<string | undefined> =>
    readText((await disk.read('segment'))._unsafeUnwrap());
  t.is(await read(), undefined);
  const bytes = Buffer.from('abc');
  await disk.append('segment', bytes);
  bytes.fill(0);
  await disk.append('segment', Buffer.from('def'));
  t.is(await read(), 'abcdef');
  await disk.truncate('segment', 4);
  await disk.append('segment', Buffer.from('x'));
  t.is(await read(), 'abcdx');
  await disk.replace('segment', Buffer.from('new'));
  t.is(await read(), 'new');
  t.deepEqual((await disk.list())._unsafeUnwrap(), ['segment']);
  await disk.remove('segment');
  t.is(await read(), undefined);
});
