/** The order of waiting jobs: those whose time to start comes first, fairly by team. */
import type { Milliseconds, TeamName } from '@cranberryturn/types';

import { type HeapNode, leaveHeap, RankedHeap } from './ranked-heap.js';

/** A job in the queue. */
export interface QueuedJob {
  readonly team: TeamName;
  /** Expected run time of all its tasks. */
  readonly cost: Milliseconds;
  /** When its next task must start for the job to end in time. */
  readonly latestStart: Milliseconds;
}

/** What decides which job goes next. */
export interface QueueTurn {
  readonly now: Milliseconds;
  readonly mayStart: (team: TeamName) => boolean;
}

interface TeamQueue<Job extends QueuedJob> {
  readonly team: TeamName;
  weight: number;
  /** Virtual time up to which the team was served. */
  served: number;
  readonly started: RankedHeap<Job>;
  readonly fresh: RankedHeap<Job>;
}

const ordinaryWeight = 1;
const smallestWeight = 0.001;

/** The jobs of one service that have waiting tasks. */
export class FairQueue<Job extends QueuedJob> {
  readonly #teams = new Map<TeamName, TeamQueue<Job>>();
  readonly #active = new Set<TeamQueue<Job>>();
  #virtualTime = 0;
  #nextOrder = 1;

  /** Changes the share of capacity of a team under contention. */
  changeWeight(team: TeamName, weight: number): void {
    this.#teamQueue(team).weight = Math.max(weight, smallestWeight);
  }

  /** Adds a job that was not started yet. */
  addFresh(node: HeapNode<Job>): void {
    this.#add(node, this.#teamQueue(node.value.team).fresh);
  }

  /** Adds a job of which at least one task was started. */
  addStarted(node: HeapNode<Job>): void {
    this.#add(node, this.#teamQueue(node.value.team).started);
  }

  /** Takes a job out, wherever it stands. */
  remove(node: HeapNode<Job>): void {
    leaveHeap(node);
    const queue = this.#teams.get(node.value.team);
    if (queue !== undefined && isEmpty(queue)) this.#active.delete(queue);
  }

  /** Charges a job to its team and moves it to the started ones. */
  markStarted(node: HeapNode<Job>): void {
    const queue = this.#teamQueue(node.value.team);
    this.#virtualTime = Math.max(this.#virtualTime, this.#leastServed());
    queue.served += node.value.cost / queue.weight;
    this.addStarted(node);
  }

  /**
   * The job whose task goes next. A started job whose time has come goes before all. Else it is the started job or
   * the fresh job of the team that is furthest behind, whichever's time comes first.
   */
  next(turn: QueueTurn): HeapNode<Job> | undefined {
    let started: HeapNode<Job> | undefined;
    let furthestBehind: TeamQueue<Job> | undefined;
    for (const queue of this.#active) {
      if (!turn.mayStart(queue.team)) continue;
      started = earlier(started, queue.started.first);
      if (queue.fresh.length > 0)
        furthestBehind = lessServed(furthestBehind, queue);
    }
    if (started !== undefined && started.rank <= turn.now) return started;
    return earlier(started, furthestBehind?.fresh.first);
  }

  /** The part of the capacity that a team can count on while the present teams compete. */
  fairShare(team: TeamName): number {
    const own = this.#teamQueue(team);
    let sum = own.weight;
    for (const queue of this.#active) {
      if (queue !== own) sum += queue.weight;
    }
    return own.weight / sum;
  }

  #add(node: HeapNode<Job>, heap: RankedHeap<Job>): void {
    const queue = this.#teamQueue(node.value.team);
    if (queue.fresh.length === 0)
      queue.served = Math.max(queue.served, this.#virtualTime);
    node.rank = node.value.latestStart;
    if (node.order === 0) node.order = this.#nextOrder++;
    heap.add(node);
    this.#active.add(queue);
  }

  #leastServed(): number {
    let least = Number.POSITIVE_INFINITY;
    for (const queue of this.#active) {
      if (queue.fresh.length > 0) least = Math.min(least, queue.served);
    }
    return Number.isFinite(least) ? least : this.#virtualTime;
  }

  #teamQueue(team: TeamName): TeamQueue<Job> {
    const known = this.#teams.get(team);
    if (known !== undefined) return known;
    const created: TeamQueue<Job> = {
      team,
      weight: ordinaryWeight,
      served: 0,
      started: new RankedHeap(),
      fresh: new RankedHeap(),
    };
    this.#teams.set(team, created);
    return created;
  }
}

function earlier<Job>(
  one: HeapNode<Job> | undefined,
  other: HeapNode<Job> | undefined,
): HeapNode<Job> | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  return other.rank < one.rank ? other : one;
}

function lessServed<Job extends QueuedJob>(
  one: TeamQueue<Job> | undefined,
  other: TeamQueue<Job>,
): TeamQueue<Job> {
  if (one === undefined || other.served < one.served) return other;
  if (other.served > one.served) return one;
  return earlier(one.fresh.first, other.fresh.first) === one.fresh.first
    ? one
    : other;
}

function isEmpty<Job extends QueuedJob>(queue: TeamQueue<Job>): boolean {
  return queue.started.length === 0 && queue.fresh.length === 0;
}
