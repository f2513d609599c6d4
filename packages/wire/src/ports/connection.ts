import type {
  AuthenticationError,
  ConnectionError,
} from '@cranberryturn/errors';
import type { Incarnation, NetworkAddress } from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

/** The role of a process. */
export enum ProcessRole {
  Dispatcher = 'dispatcher',
  Sidecar = 'sidecar',
  Control = 'control',
}

/** Who is at the other end of a connection. */
export interface PeerIdentity {
  readonly role: ProcessRole;
  readonly name: string;
  readonly incarnation: Incarnation;
}

/**
 * One ordered connection that carries whole frames. It may lose everything
 * that was sent since an unknown moment, without notice.
 */
export interface Connection {
  readonly peer: PeerIdentity;
  /** Sends one frame. Does nothing once the connection has ended. */
  send(frame: Uint8Array): void;
  /** Yields each frame received, and finishes when the connection ends. One reader only. */
  receive(): AsyncIterable<Uint8Array>;
  /** Ends the connection at once. */
  close(): void;
}

/** Opens connections. */
export interface Dialer {
  dial(
    address: NetworkAddress,
  ): ResultAsync<Connection, ConnectionError | AuthenticationError>;
}

/** Accepts connections until it is closed. */
export interface Listener {
  readonly address: NetworkAddress;
  /** Stops accepting and ends all accepted connections. */
  close(): Promise<void>;
}

/** Receives each accepted connection after its peer has proved who it is. */
export type ConnectionHandler = (connection: Connection) => void;

/** Opens and accepts connections for one process. */
export interface Network extends Dialer {
  listen(
    address: NetworkAddress,
    handler: ConnectionHandler,
  ): ResultAsync<Listener, ConnectionError>;
}
