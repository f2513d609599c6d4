import test from 'ava';

import { BodyBuffer } from './body-buffer.js';
import { BufferPool } from './buffer-pool.js';

const mebibyte = 1_048_576;

/** Splits a body into chunks of this size and collects them. */
function collect(pool: BufferPool, body: Buffer, chunkBytes: number) {
  const buffer = new BodyBuffer(pool);
  for (let start = 0; start < body.length; start += chunkBytes)
    buffer.append(body.subarray(start, start + chunkBytes));
  return buffer;
}

test('bodies of any size in chunks of any size are collected whole, in buffers that others have used', t => {
  const pool = new BufferPool(mebibyte);
  for (const bytes of [0, 1, 100, 16_384, 16_385, 70_000, 300_000]) {
    for (const chunkBytes of [1, 97, 16_384, 65_536, 400_000]) {
      const body = Buffer.alloc(
        bytes,
        `${String(bytes)}/${String(chunkBytes)}`,
      );
      const buffer = collect(pool, body, chunkBytes);
      t.true(buffer.read().equals(body));
      buffer.release();
    }
  }
});

test('two bodies that are collected at the same time share no buffer', t => {
  const pool = new BufferPool(mebibyte);
  collect(pool, Buffer.alloc(1_000, 'a'), 10).release();
  const first = collect(pool, Buffer.alloc(1_000, 'b'), 10);
  const second = collect(pool, Buffer.alloc(1_000, 'c'), 10);
  t.is(first.read().toString(), 'b'.repeat(1_000));
  t.is(second.read().toString(), 'c'.repeat(1_000));
});

test('a body that was released twice frees its buffer once', t => {
  const pool = new BufferPool(mebibyte);
  const released = collect(pool, Buffer.alloc(1_000, 'a'), 10);
  released.release();
  released.release();
  const first = collect(pool, Buffer.alloc(1_000, 'b'), 10);
  const second = collect(pool, Buffer.alloc(1_000, 'c'), 10);
  t.not(first.read().buffer, second.read().buffer);
});

test('each chunk counts beside the size of the body, up to a limit', t => {
  const body = Buffer.alloc(1_000, 'a');
  const buffer = collect(new BufferPool(mebibyte), body, 1);
  t.is(buffer.measureWith(1, Infinity), 16_384 + 1_000 * 64);
  t.is(buffer.measureWith(1, 5_000), 16_384 + 5_000);
});
