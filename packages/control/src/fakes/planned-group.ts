/**
 * A group of control replicas without a network or a clock of its own: the leader's planner changes
 * the members, one step a tick, and throws when a majority or an acknowledged entry is missing.
 */
import type { RandomSource } from '@cranberryturn/random';
import {
  type Member,
  MemberChangeKind,
  MemberRole,
  planMemberChange,
} from '@cranberryturn/replicated-log';

import type { GroupView } from '../group-view.js';
import { findGroupStep } from '../plan-group.js';
import { MembershipStepKind } from '../reconcile-members.js';
import {
  countByDataCentre,
  type HostLayout,
  type ToleratedLosses,
} from '../tolerated-losses.js';
import {
  type GroupState,
  isUp,
  listVoters,
  type PlannedHost,
  type RunningHost,
} from './planned-group-state.js';

const tickMilliseconds = 500;
/** Longer than any silence that the planner acts on. */
const quietTicks = 10;
const maximumTicks = 400;

/** The group; a copy goes on by itself. */
export class PlannedGroup {
  #state: GroupState;
  readonly #losses: ToleratedLosses;
  readonly #random: RandomSource;

  /** Starts with the founders as voters, whose data centres the records lack. */
  constructor(
    founders: readonly PlannedHost[],
    losses: ToleratedLosses,
    random: RandomSource,
    state?: GroupState,
  ) {
    this.#losses = losses;
    this.#random = random;
    this.#state = state ?? {
      now: 0,
      hosts: new Map(),
      replicas: new Map(),
      members: founders.map(({ name }) => ({
        replicaId: name,
        role: MemberRole.Voter,
        address: name,
      })),
      leader: '',
      leaderSince: 0,
      acknowledged: 0,
    };
    if (state === undefined) for (const host of founders) this.start(host);
  }

  /** Copies the group. */
  copy(): PlannedGroup {
    return new PlannedGroup([], this.#losses, this.#random, this.#state);
  }

  /** Starts a host, with an empty disk if it has none from before. */
  start(host: PlannedHost): void {
    const known = this.#state.hosts.get(host.name);
    const replicaId = known?.replicaId ?? host.name;
    this.#setHost({ ...host, replicaId, isUp: true });
  }

  /** Stops a host. Without its disk it returns under a new identity. */
  lose({ name }: PlannedHost, withDisk: boolean): void {
    const host = this.#state.hosts.get(name);
    if (host === undefined) return;
    const replicaId = `${name}-${String(this.#state.now)}`;
    this.#setHost({ ...host, isUp: false });
    if (withDisk) this.#setHost({ ...host, isUp: false, replicaId });
  }

  /** Runs a number of ticks. */
  run(ticks: number): void {
    for (let tick = 0; tick < ticks; tick += 1) this.#tick();
  }

  /** Runs until the planner has had nothing to do for longer than any silence that it acts on. */
  settle(): void {
    let quiet = 0;
    for (let tick = 0; tick < maximumTicks; tick += 1) {
      quiet = this.#tick() ? 0 : quiet + 1;
      if (quiet >= quietTicks) return;
    }
    throw new Error(`does not settle: ${JSON.stringify(this.#state.members)}`);
  }

  /** Names of the hosts that vote. */
  listVoters(): readonly string[] {
    return listVoters(this.#state.members).map(({ address }) => address);
  }

  /** Voters of each data centre. */
  countVoters(): HostLayout {
    return countByDataCentre(
      listVoters(this.#state.members).map(
        ({ dataCentre }) => dataCentre ?? 'none stated',
      ),
    );
  }

  /** Addresses of all members. */
  listMembers(): readonly string[] {
    return this.#state.members.map(({ address }) => address);
  }

  #setHost(host: RunningHost): void {
    const { now, hosts, replicas } = this.#state;
    const { synced = 0 } = replicas.get(host.replicaId) ?? {};
    const replica = { synced, downSince: host.isUp ? Infinity : now };
    this.#state = {
      ...this.#state,
      hosts: new Map(hosts).set(host.name, host),
      replicas: new Map(replicas).set(host.replicaId, replica),
    };
  }

  /** Returns whether the members changed. */
  #tick(): boolean {
    this.#state = { ...this.#state, now: this.#state.now + tickMilliseconds };
    this.#elect();
    this.#acknowledge();
    const step = findGroupStep(this.#composeView());
    if (step?.kind !== MembershipStepKind.Change) return false;
    const { change } = step;
    const { members, acknowledged, replicas } = this.#state;
    const synced = replicas.get(change.replicaId)?.synced ?? 0;
    const isBehind = synced < acknowledged - 1;
    if (change.kind === MemberChangeKind.Promote && isBehind) return false;
    const changed = planMemberChange(members, change);
    if (changed.isErr()) throw changed.error;
    this.#requireEnoughVoters(changed.value);
    this.#state = { ...this.#state, members: changed.value };
    this.#requireMajority();
    return true;
  }

  #elect(): void {
    const voters = this.#requireMajority();
    const { leader, replicas, acknowledged, now } = this.#state;
    if (voters.some(({ replicaId }) => replicaId === leader)) return;
    const synced = ({ replicaId }: Member): number =>
      replicas.get(replicaId)?.synced ?? 0;
    const [latest] = [...voters].sort((a, b) => synced(b) - synced(a));
    if (latest === undefined || synced(latest) < acknowledged)
      throw new Error('an acknowledged entry is lost');
    this.#state = {
      ...this.#state,
      leader: latest.replicaId,
      leaderSince: now,
    };
  }

  /** Syncs earlier entries everywhere, then one more entry at as few voters as acknowledge it. */
  #acknowledge(): void {
    const { members, leader } = this.#state;
    const acknowledged = this.#state.acknowledged + 1;
    const replicas = new Map(this.#state.replicas);
    const sync = ({ replicaId }: Member, synced: number): void => {
      const replica = replicas.get(replicaId);
      if (replica !== undefined)
        replicas.set(replicaId, { ...replica, synced });
    };
    for (const member of members.filter(one => isUp(this.#state, one)))
      sync(member, acknowledged - 1);
    const majority = Math.floor(listVoters(this.#state.members).length / 2) + 1;
    const voters = this.#requireMajority()
      .map(member => ({
        member,
        order: member.replicaId === leader ? -1 : this.#random.fraction(),
      }))
      .sort((left, right) => left.order - right.order)
      .slice(0, majority);
    for (const { member } of voters) sync(member, acknowledged);
    this.#state = { ...this.#state, acknowledged, replicas };
  }

  #composeView(): GroupView {
    const { hosts, members, leader, leaderSince, replicas, now } = this.#state;
    return {
      leader,
      members,
      losses: this.#losses,
      minimumVoters:
        2 * Math.max(this.#losses.hosts, this.#losses.dataCentres) + 1,
      candidates: [...hosts.values()]
        .filter(({ isUp }) => isUp)
        .map(({ name, replicaId, dataCentre }) => ({
          replicaId,
          address: name,
          dataCentre,
        })),
      measureSilence: replicaId => {
        const downSince = replicas.get(replicaId)?.downSince ?? 0;
        return Math.max(0, now - Math.max(downSince, leaderSince));
      },
    };
  }

  /** While no member is lost, no change may leave fewer voters than the loss of hosts needs. */
  #requireEnoughVoters(changed: readonly Member[]): void {
    const { members } = this.#state;
    const needed = 2 * this.#losses.hosts + 1;
    if (!members.every(member => isUp(this.#state, member))) return;
    if (
      listVoters(members).length < needed ||
      listVoters(changed).length >= needed
    )
      return;
    throw new Error(`fewer voters than ${String(needed)} by a change`);
  }

  #requireMajority(): readonly Member[] {
    const voters = listVoters(this.#state.members);
    const up = voters.filter(member => isUp(this.#state, member));
    if (up.length > voters.length / 2) return up;
    throw new Error(
      `no majority: ${String(up.length)} of ${String(voters.length)} voters`,
    );
  }
}
