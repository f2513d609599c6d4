import type { Incarnation } from '@cranberryturn/types';

import type { PeerIdentity, ProcessRole } from './ports/connection.js';

/** Version of the protocol between our processes. */
export const protocolVersion = 1;

/** First frame in both directions of every connection. */
export interface HelloFrame {
  readonly protocol: number;
  readonly role: ProcessRole;
  readonly name: string;
  readonly incarnation: Incarnation;
}

/** Composes the first frame that a process sends. */
export function composeHello(self: PeerIdentity): HelloFrame {
  return {
    protocol: protocolVersion,
    role: self.role,
    name: self.name,
    incarnation: self.incarnation,
  };
}
