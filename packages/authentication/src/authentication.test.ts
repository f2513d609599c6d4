import { chmodSync, mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import test from 'ava';

import {
  computeHandshakeProof,
  createNonce,
  createSharedKey,
  createToken,
  createTokenFinder,
  digestToken,
  findTokenHolder,
  type HandshakeParty,
  HandshakeSide,
  type HandshakeTranscript,
  parseSharedKeys,
  readBearerToken,
  readSharedKeyFile,
  verifyHandshakeProof,
} from './index.js';

const { Dialler, Listener } = HandshakeSide;

function parseKeys(...keys: string[]) {
  return parseSharedKeys(keys.join('\n'), 'test.key')._unsafeUnwrap();
}

function createParty(role: string, name: string): HandshakeParty {
  return { role, name, incarnation: 'run-1', nonce: createNonce() };
}

function createTranscript(): HandshakeTranscript {
  return {
    dialler: createParty('sidecar', 'target-1'),
    listener: createParty('dispatcher', 'entry-1'),
  };
}

test('a token is matched to its holder only', t => {
  const tokens = [createToken(), createToken(), createToken()];
  const holders = tokens.map((token, index) => ({
    name: `team-${String(index)}`,
    tokenDigests: [digestToken(createToken()), digestToken(token)],
  }));
  const find = createTokenFinder(holders);
  for (const [index, token] of tokens.entries()) {
    t.is(find(token)?.name, `team-${String(index)}`);
    t.is(findTokenHolder(`${token}x`, holders), undefined);
  }
  t.is(find(undefined), undefined);
  t.is(find(''), undefined);
  t.is(findTokenHolder('any', [{ tokenDigests: ['sha256:12'] }]), undefined);
});

test('a token is read from bearer headers only', t => {
  t.is(readBearerToken('Bearer cbt_1'), 'cbt_1');
  t.is(readBearerToken('bearer  cbt_1'), 'cbt_1');
  t.is(readBearerToken('Basic cbt_1'), undefined);
  t.is(readBearerToken('Bearer a b'), undefined);
  t.is(readBearerToken(undefined), undefined);
});

test('both ends accept the proof of the same key', t => {
  const keys = parseKeys(createSharedKey());
  const transcript = createTranscript();
  for (const side of [Dialler, Listener]) {
    const proof = computeHandshakeProof(keys, transcript, side);
    t.true(verifyHandshakeProof(keys, transcript, side, proof).isOk());
  }
});

test('a proof is refused for another key, side, name, role or nonce', t => {
  const keys = parseKeys(createSharedKey());
  const transcript = createTranscript();
  const proof = computeHandshakeProof(keys, transcript, Dialler);
  const { dialler } = transcript;
  const altered: HandshakeTranscript[] = [
    { ...transcript, dialler: { ...dialler, name: 'target-2' } },
    { ...transcript, dialler: { ...dialler, role: 'control' } },
    { ...transcript, dialler: { ...dialler, incarnation: 'run-2' } },
    { ...transcript, dialler: { ...dialler, nonce: createNonce() } },
    { ...transcript, listener: createTranscript().listener },
    {
      ...transcript,
      listener: { ...transcript.listener, nonce: dialler.nonce },
    },
    { ...transcript, dialler: { ...dialler, nonce: 'short' } },
  ];
  for (const other of altered) {
    t.true(verifyHandshakeProof(keys, other, Dialler, proof).isErr());
  }
  t.true(verifyHandshakeProof(keys, transcript, Listener, proof).isErr());
  t.true(verifyHandshakeProof(keys, transcript, Dialler, '').isErr());
  const otherKeys = parseKeys(createSharedKey());
  const refused = verifyHandshakeProof(otherKeys, transcript, Dialler, proof);
  const error = refused._unsafeUnwrapErr();
  t.like(error, { step: 'authenticate peer', peer: 'target-1' });
  t.snapshot(error.message);
});

test('a key rotation in three steps never refuses a peer', t => {
  const [old, fresh] = [createSharedKey(), createSharedKey()];
  const steps = [[old], [old, fresh], [fresh, old], [fresh]].map(lines =>
    parseKeys(...lines),
  );
  const transcript = createTranscript();
  const accepts = (left: number, right: number): boolean => {
    const [mine, theirs] = [steps[left], steps[right]];
    if (mine === undefined || theirs === undefined) return false;
    const proof = computeHandshakeProof(theirs, transcript, Dialler);
    return verifyHandshakeProof(mine, transcript, Dialler, proof).isOk();
  };
  for (const step of [0, 1, 2]) {
    t.true(accepts(step, step + 1));
    t.true(accepts(step + 1, step));
  }
  t.false(accepts(0, 3));
});

test('the error for an invalid shared key file names the fault', t => {
  const folder = mkdtempSync(join(tmpdir(), 'cranberry-key-'));
  const write = (name: string, text: string, mode: number): string => {
    const path = join(folder, name);
    writeFileSync(path, text);
    chmodSync(path, mode);
    return path;
  };
  const key = createSharedKey();
  const good = write('good', `# made today\n\n${key}\n`, 0o600);
  t.is(readSharedKeyFile(good)._unsafeUnwrap().current.length, 32);
  const wrong = [
    join(folder, 'missing'),
    write('open', key, 0o644),
    write('empty', '# none\n', 0o600),
    write('short', `${key}\ncbk_short\n`, 0o600),
    write('three', `${key}\n${key}\n${key}\n`, 0o600),
  ];
  const messages = wrong.map(path =>
    readSharedKeyFile(path)
      ._unsafeUnwrapErr()
      .message.replaceAll(`${folder}/`, ''),
  );
  t.snapshot(messages);
  t.false(messages.join().includes(key));
});
