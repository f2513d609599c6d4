/** Order of waiting jobs: by latest start, with start-time fair queueing between teams. */
import type { Milliseconds, TeamName } from '@cranberryturn/types';

import { type HeapNode, removeFromHeap, RankedHeap } from './ranked-heap.js';

/** A job in the queue. */
export interface QueuedJob {
  readonly team: TeamName;
  /** Expected run time of all its tasks. */
  readonly costMilliseconds: Milliseconds;
  /** Time at which the next task must start for the job to end in time. */
  readonly latestStart: Milliseconds;
}

/** Criteria for the selection of the next job. */
export interface SelectionCriteria {
  readonly now: Milliseconds;
  /** Whether the quota of a team allows another start now. */
  readonly canStart: (team: TeamName) => boolean;
}

interface TeamQueue<Job extends QueuedJob> {
  readonly team: TeamName;
  weight: number;
  /** Virtual time up to which the team was served; advances by cost divided by weight. */
  servedVirtualTime: number;
  readonly started: RankedHeap<Job>;
  readonly unstarted: RankedHeap<Job>;
}

const defaultWeight = 1;
const minimumWeight = 0.001;

/** The jobs of one service that have waiting tasks. */
export class FairQueue<Job extends QueuedJob> {
  readonly #teams = new Map<TeamName, TeamQueue<Job>>();
  readonly #activeTeams = new Set<TeamQueue<Job>>();
  #virtualTime = 0;
  #nextSequenceNumber = 1;

  /** Sets the weight of a team, by which capacity is divided while teams compete. */
  setWeight(team: TeamName, weight: number): void {
    this.#findOrCreateQueue(team).weight = Math.max(weight, minimumWeight);
  }

  /** Adds or moves a job of which no task was started yet. */
  addUnstarted(node: HeapNode<Job>): void {
    this.#add(node, this.#findOrCreateQueue(node.value.team).unstarted);
  }

  /** Adds or moves a job of which at least one task was started. */
  addStarted(node: HeapNode<Job>): void {
    this.#add(node, this.#findOrCreateQueue(node.value.team).started);
  }

  /** Removes a job; does nothing when the job is not queued. */
  remove(node: HeapNode<Job>): void {
    removeFromHeap(node);
    const queue = this.#teams.get(node.value.team);
    if (queue !== undefined && isEmpty(queue)) this.#activeTeams.delete(queue);
  }

  /** Charges the cost of a job to its team and moves the job to the started ones. */
  markStarted(node: HeapNode<Job>): void {
    const queue = this.#findOrCreateQueue(node.value.team);
    this.#virtualTime = Math.max(
      this.#virtualTime,
      this.#findMinimumServedTime(),
    );
    queue.servedVirtualTime += node.value.costMilliseconds / queue.weight;
    this.addStarted(node);
  }

  /**
   * Returns the job whose task is placed next. A started job whose latest start has passed comes before all others.
   * Otherwise the earliest started job competes by latest start with the first unstarted job of the least-served team.
   */
  selectNextJob(criteria: SelectionCriteria): HeapNode<Job> | undefined {
    let started: HeapNode<Job> | undefined;
    let leastServedQueue: TeamQueue<Job> | undefined;
    for (const queue of this.#activeTeams) {
      if (!criteria.canStart(queue.team)) continue;
      started = chooseEarlier(started, queue.started.first);
      if (queue.unstarted.length > 0)
        leastServedQueue = chooseLessServed(leastServedQueue, queue);
    }
    if (started !== undefined && started.rank <= criteria.now) return started;
    return chooseEarlier(started, leastServedQueue?.unstarted.first);
  }

  /** Returns the part of the capacity, from 0 to 1, that a team gets while the queued teams compete. */
  computeFairShare(team: TeamName): number {
    const own = this.#findOrCreateQueue(team);
    let sum = own.weight;
    for (const queue of this.#activeTeams) {
      if (queue !== own) sum += queue.weight;
    }
    return own.weight / sum;
  }

  #add(node: HeapNode<Job>, heap: RankedHeap<Job>): void {
    const queue = this.#findOrCreateQueue(node.value.team);
    if (queue.unstarted.length === 0)
      queue.servedVirtualTime = Math.max(
        queue.servedVirtualTime,
        this.#virtualTime,
      );
    node.rank = node.value.latestStart;
    if (node.sequenceNumber === 0)
      node.sequenceNumber = this.#nextSequenceNumber++;
    heap.add(node);
    this.#activeTeams.add(queue);
  }

  #findMinimumServedTime(): number {
    let minimum = Number.POSITIVE_INFINITY;
    for (const queue of this.#activeTeams) {
      if (queue.unstarted.length > 0)
        minimum = Math.min(minimum, queue.servedVirtualTime);
    }
    return Number.isFinite(minimum) ? minimum : this.#virtualTime;
  }

  #findOrCreateQueue(team: TeamName): TeamQueue<Job> {
    const known = this.#teams.get(team);
    if (known !== undefined) return known;
    const created: TeamQueue<Job> = {
      team,
      weight: defaultWeight,
      servedVirtualTime: 0,
      started: new RankedHeap(),
      unstarted: new RankedHeap(),
    };
    this.#teams.set(team, created);
    return created;
  }
}

function chooseEarlier<Job>(
  one: HeapNode<Job> | undefined,
  other: HeapNode<Job> | undefined,
): HeapNode<Job> | undefined {
  if (one === undefined || other === undefined) return one ?? other;
  return other.rank < one.rank ? other : one;
}

function chooseLessServed<Job extends QueuedJob>(
  one: TeamQueue<Job> | undefined,
  other: TeamQueue<Job>,
): TeamQueue<Job> {
  if (one === undefined || other.servedVirtualTime < one.servedVirtualTime)
    return other;
  if (other.servedVirtualTime > one.servedVirtualTime) return one;
  return chooseEarlier(one.unstarted.first, other.unstarted.first) ===
    one.unstarted.first
    ? one
    : other;
}

function isEmpty<Job extends QueuedJob>(queue: TeamQueue<Job>): boolean {
  return queue.started.length === 0 && queue.unstarted.length === 0;
}
