/** Passes lines on to a slow reader without ever waiting for it: what does not fit is dropped and counted. */
import { Writable } from 'node:stream';

import type { TimerService, TimerSubscription } from '@cranberryturn/timers';

const flushMilliseconds = 100;
/** Lines that wait for the next flush; a process writes some kilobytes a second. */
const mostBufferedCharacters = 262_144;
/** A reader that is this far behind has stopped reading. */
const mostUnreadBytes = 1_048_576;

/** Creates the output. Lines are written together, at most every 100 ms. */
export function createBoundedOutput(
  target: Writable,
  timers: TimerService,
): Writable {
  let lines: string[] = [];
  let characters = 0;
  let dropped = 0;
  let timer: TimerSubscription | undefined;

  const flush = (): void => {
    timer?.cancel();
    timer = undefined;
    if (lines.length === 0 && dropped === 0) return;
    if (target.writableLength > mostUnreadBytes) {
      dropped += lines.length;
    } else {
      const note =
        dropped > 0
          ? `${JSON.stringify({ message: 'log lines dropped', dropped })}\n`
          : '';
      dropped = 0;
      target.write(note + lines.join(''));
    }
    lines = [];
    characters = 0;
  };

  return new Writable({
    decodeStrings: false,
    write: (chunk: string | Buffer, _encoding, done) => {
      const line = chunk.toString();
      if (characters + line.length > mostBufferedCharacters) {
        dropped += 1;
      } else {
        lines.push(line);
        characters += line.length;
      }
      timer ??= timers.after(flushMilliseconds, flush);
      done();
    },
    final: done => {
      flush();
      done();
    },
  });
}
