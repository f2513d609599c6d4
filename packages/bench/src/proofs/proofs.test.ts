import { readFile } from 'node:fs/promises';

import test from 'ava';

const root = new URL('../../../../', import.meta.url);
const reference = /`([\w/.-]+\.test\.ts)`: ([^|<]+)/g;

test('every test that docs/PROOFS.md names exists', async t => {
  const page = await readFile(new URL('docs/PROOFS.md', root), 'utf8');
  const named = [...page.matchAll(reference)];
  t.true(named.length > 0);
  for (const [, file = '', title = ''] of named) {
    const source = await readFile(new URL(`packages/${file}`, root), 'utf8');
    t.true(source.includes(title.trim()), `${file} has no test "${title}"`);
  }
});
