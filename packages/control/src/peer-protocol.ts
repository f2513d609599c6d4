/** Types of the messages between control replicas. */
import type { PeerMessage } from '@cranberryturn/replicated-log';
import type { NetworkAddress, ReplicaId } from '@cranberryturn/types';

import type { AdministrationCall } from './administration-calls.js';

/** The kinds of message between replicas. */
export enum PeerEnvelopeKind {
  /** A message of the replicated log. */
  Log = 'log',
  /** An administration call, forwarded to the leader. */
  Administration = 'administration',
  /** A request to join the group. */
  JoinRequest = 'enlist',
  /** Tells a host that may not know the group where its leader is. */
  LeaderAnnouncement = 'leader-announcement',
}

/** One message between replicas, sent as the body of a remote call. */
export type PeerEnvelope =
  | {
      readonly kind: PeerEnvelopeKind.Log;
      readonly from: ReplicaId;
      readonly message: PeerMessage;
    }
  | {
      readonly kind: PeerEnvelopeKind.Administration;
      readonly call: AdministrationCall;
    }
  | {
      readonly kind: PeerEnvelopeKind.JoinRequest;
      readonly candidate: JoiningReplica;
    }
  | {
      readonly kind: PeerEnvelopeKind.LeaderAnnouncement;
      readonly leader: NetworkAddress;
    };

/** A replica that asks to join the group. Sent to other replicas as part of a join request. */
export interface JoiningReplica {
  readonly replicaId: ReplicaId;
  readonly address: string;
  /** Set by a replica without a disk: it must not become a voter. */
  readonly isObserver?: boolean | undefined;
  /** Data centre of the host; replicas of earlier versions state none. */
  readonly dataCentre?: string | undefined;
}

/** The reply to a join request. */
export interface JoinReply {
  /**
   * Address of the leader, to repeat the request there; undefined when no leader is known or the
   * asked replica leads.
   */
  readonly leader: NetworkAddress | undefined;
}
