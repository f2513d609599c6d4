/** Port to the network: ordered connections between authenticated processes. */
import type {
  AuthenticationError,
  ConnectionError,
  CranberryError,
} from '@cranberryturn/errors';
import type { Incarnation, NetworkAddress } from '@cranberryturn/types';
import type { ResultAsync } from 'neverthrow';

/** The role of a process. */
export enum ProcessRole {
  Dispatcher = 'dispatcher',
  Sidecar = 'sidecar',
  Control = 'control',
}

/** Identity of a process at one end of a connection. */
export interface PeerIdentity {
  readonly role: ProcessRole;
  readonly name: string;
  readonly incarnation: Incarnation;
}

/**
 * An ordered connection that carries whole frames. All frames sent since some
 * unknown moment may be lost without an error.
 */
export interface Connection {
  readonly peer: PeerIdentity;
  /** Sends one frame. Does nothing once the connection has ended. */
  send(frame: Uint8Array): void;
  /** Yields each received frame and finishes when the connection ends. Supports one reader only. */
  receive(): AsyncIterable<Uint8Array>;
  /** Ends the connection at once. `cause` is the fault of the peer for which it is closed, if any. */
  close(cause?: CranberryError): void;
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

/** Called with each accepted connection after the peer is authenticated. */
export type ConnectionHandler = (connection: Connection) => void;

/** Opens and accepts connections for one process. */
export interface Network extends Dialer {
  listen(
    address: NetworkAddress,
    handler: ConnectionHandler,
  ): ResultAsync<Listener, ConnectionError>;
}
