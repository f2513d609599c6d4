/** Bounded buffer between a log and a possibly slow reader. Lines that do not fit are dropped and counted. */
import { Writable } from 'node:stream';

import type { TimerService, TimerSubscription } from '@cranberryturn/timers';

const flushIntervalMilliseconds = 100;
/** Capacity for lines until the next flush. A process normally writes some kilobytes a second. */
const maximumBufferedCharacters = 262_144;
/** Backlog at the destination above which its reader counts as stalled, and lines are dropped. */
const maximumUnwrittenBytes = 1_048_576;

/**
 * Creates a stream that passes lines on to `destination` in batches, at most every 100 ms, and never
 * applies back pressure. The next batch after dropped lines starts with a line that counts them.
 */
export function createBoundedOutput(
  destination: Writable,
  timers: TimerService,
): Writable {
  let bufferedLines: string[] = [];
  let bufferedCharacters = 0;
  let dropped = 0;
  let flushTimer: TimerSubscription | undefined;

  const flush = (): void => {
    flushTimer?.cancel();
    flushTimer = undefined;
    if (bufferedLines.length === 0 && dropped === 0) return;
    if (destination.writableLength > maximumUnwrittenBytes) {
      dropped += bufferedLines.length;
    } else {
      const droppedNotice =
        dropped > 0
          ? `${JSON.stringify({ message: 'log lines dropped', dropped })}\n`
          : '';
      dropped = 0;
      destination.write(droppedNotice + bufferedLines.join(''));
    }
    bufferedLines = [];
    bufferedCharacters = 0;
  };

  return new Writable({
    decodeStrings: false,
    write: (chunk: string | Buffer, _encoding, done) => {
      const line = chunk.toString();
      if (bufferedCharacters + line.length > maximumBufferedCharacters) {
        dropped += 1;
      } else {
        bufferedLines.push(line);
        bufferedCharacters += line.length;
      }
      flushTimer ??= timers.after(flushIntervalMilliseconds, flush);
      done();
    },
    final: done => {
      flush();
      done();
    },
  });
}
