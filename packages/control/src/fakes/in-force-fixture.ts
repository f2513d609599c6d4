/** Publishes versions without a pause, and records the versions that dispatchers do not have in force in time. */
import {
  type ControlClient,
  WatchEventKind,
} from '@cranberryturn/control-client';
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import type { Milliseconds } from '@cranberryturn/types';

import {
  AdministrationMethod,
  AdministrationReplyKind,
} from '../administration-calls.js';
import {
  type ClusterFixture,
  getReplicaId,
  startCluster,
} from './cluster-fixture.js';

/** The stated bounds: from acknowledged to in force, and from the end of a disruption to caught up. */
export const applyMilliseconds: Milliseconds = 2_000;
export const contactMilliseconds: Milliseconds = 3_000;

const stepMilliseconds: Milliseconds = 20;
const publishInterval: Milliseconds = 100;

/** A cluster, its dispatchers and the versions that were acknowledged. */
export interface InForceFixture extends ClusterFixture {
  readonly random: RandomSource;
  readonly clients: readonly ControlClient[];
  /** Lines on versions that were not in force in time; a dispatcher has one line for each time it is behind. */
  readonly late: readonly string[];
  /** Goes on publishing for this long. Dispatchers are checked unless `isChecked` is false. */
  play(duration: Milliseconds, isChecked?: boolean): Promise<void>;
  /** Control hosts other than the leader, in the order in which the first dispatcher tries them. */
  listFollowers(): readonly string[];
}

/** Starts control hosts and dispatchers of which each process can be suspended. */
export async function startInForceFixture(
  seed: number,
  size: number,
): Promise<InForceFixture> {
  const fixture = await startCluster({ seed, size, isSuspendable: true });
  const { timers, cluster } = fixture;
  const random = createRandomSource(seed);
  let watched = '';
  const clients = ['d1', 'd2', 'd3'].map(name =>
    cluster.connect(name, 'run-1', event => {
      if (event.kind === WatchEventKind.Watched && name === 'd1')
        watched = event.controlHost;
    }),
  );
  const acknowledged: { version: number; at: Milliseconds }[] = [];
  const late: string[] = [];
  const behind = new Set<ControlClient>();
  let version = 0;
  let publishAt = 0;

  const publish = async (): Promise<void> => {
    version += 1;
    const publication = { version, document: '{}' };
    const reply = await cluster
      .leader()
      ?.administer({ method: AdministrationMethod.Publish, publication });
    if (reply?.kind !== AdministrationReplyKind.Done) return;
    acknowledged.push({ version: publication.version, at: timers.now() });
  };

  const check = (client: ControlClient, position: number): void => {
    const due = timers.now() - applyMilliseconds;
    const required = acknowledged
      .filter(({ at }) => at <= due)
      .reduce((highest, entry) => Math.max(highest, entry.version), 0);
    const held = client.publication.current().version;
    if (held >= required) {
      behind.delete(client);
      return;
    }
    if (behind.has(client)) return;
    behind.add(client);
    late.push(
      `seed ${String(seed)}: d${String(position + 1)} holds ${String(held)} of ${String(required)} at ${String(timers.now())} ms`,
    );
  };

  const play = async (
    duration: Milliseconds,
    isChecked = true,
  ): Promise<void> => {
    const endsAt = timers.now() + duration;
    while (timers.now() < endsAt) {
      if (timers.now() >= publishAt) {
        publishAt = timers.now() + publishInterval;
        void publish();
      }
      await timers.advance(stepMilliseconds);
      if (isChecked) clients.forEach(check);
    }
  };

  await play(contactMilliseconds, false);
  return {
    ...fixture,
    random,
    clients,
    late,
    play,
    listFollowers: () => {
      const leader = cluster.leader();
      const hosts = cluster
        .nodes()
        .filter(node => node !== leader)
        .map(getReplicaId)
        .sort();
      const start = hosts.findIndex(host => host >= watched);
      return [...hosts.slice(start), ...hosts.slice(0, start)];
    },
  };
}
