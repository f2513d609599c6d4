/**
 * Chooses the peers that one process holds sessions with, without knowledge of the other processes.
 * Rendezvous hashing spreads the sessions evenly, and a peer that comes or goes moves only its own.
 */
import { computeWeight, hashName } from './rendezvous-hash.js';

/** Returns the `maximum` peers that `self` prefers, independent of the order in which they are listed. */
export function chooseSessionPeers<Peer>(
  self: string,
  peers: readonly Peer[],
  maximum: number,
  nameOf: (peer: Peer) => string,
): readonly Peer[] {
  if (peers.length <= maximum) return peers;
  const ownHash = hashName(self);
  return peers
    .map(peer => ({
      peer,
      name: nameOf(peer),
      weight: computeWeight(ownHash, hashName(nameOf(peer))),
    }))
    .sort(
      (left, right) =>
        right.weight - left.weight || (left.name < right.name ? -1 : 1),
    )
    .slice(0, maximum)
    .map(({ peer }) => peer);
}
