/** Borrows shares of limits from other dispatchers. */
import type { ShareExchange } from '@cranberryturn/scheduling';
import type { RosterFeed } from '@cranberryturn/membership';
import { ConnectionError, RefusedError } from '@cranberryturn/errors';
import type { DispatcherId, Milliseconds } from '@cranberryturn/types';
import { DispatcherMethod, DispatcherReplyKind } from '@cranberryturn/wire';
import { err, errAsync, ok } from 'neverthrow';

import type { DispatcherLinks } from './dispatcher-links.js';

const borrowTimeoutMilliseconds: Milliseconds = 500;
const step = 'borrow shares';

/** Creates the port through which the scheduler borrows limit shares from other dispatchers. */
export function createShareExchange(
  links: DispatcherLinks,
  roster: RosterFeed,
): ShareExchange {
  return {
    borrow: (peer, request) => {
      const record = roster
        .current()
        .dispatchers.find(one => one.dispatcherId === peer);
      if (record === undefined) return errAsync(composeUnknownPeerError(peer));
      return links
        .call(
          record.address,
          { method: DispatcherMethod.BorrowShares, request },
          borrowTimeoutMilliseconds,
        )
        .andThen(reply =>
          reply.kind === DispatcherReplyKind.Shares
            ? ok(reply.reply)
            : err(composeRefusalError(peer)),
        );
    },
  };
}

function composeUnknownPeerError(peer: DispatcherId): ConnectionError {
  return new ConnectionError(
    `Dispatcher ${peer} is not in the roster and may have stopped; no limit shares were borrowed.`,
    { step, peer },
  );
}

function composeRefusalError(peer: DispatcherId): RefusedError {
  return new RefusedError(
    `Dispatcher ${peer} does not lend limit shares; both dispatchers must run the same version.`,
    { step, peer },
  );
}
