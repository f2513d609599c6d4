/** Start-time fair queueing of jobs by team. Jobs that were started come before new ones. */
import type { Milliseconds, TeamName } from '@cranberryturn/types';

import { LinkedList, type ListNode, removeNode } from './linked-list.js';

/** A job in the queue. */
export interface QueuedJob {
  readonly team: TeamName;
  /** Expected run time of all its tasks. */
  readonly cost: Milliseconds;
}

interface TeamQueue<Job extends QueuedJob> {
  readonly team: TeamName;
  weight: number;
  /** Virtual time at which the team's last job ends. */
  finish: number;
  readonly started: LinkedList<Job>;
  readonly fresh: LinkedList<Job>;
}

const ordinaryWeight = 1;
const smallestWeight = 0.001;

/** The jobs of one service that have waiting tasks. */
export class FairQueue<Job extends QueuedJob> {
  readonly #teams = new Map<TeamName, TeamQueue<Job>>();
  readonly #active = new Set<TeamQueue<Job>>();
  #virtualTime = 0;

  /** Changes the share of capacity of a team under contention. */
  changeWeight(team: TeamName, weight: number): void {
    this.#teamQueue(team).weight = Math.max(weight, smallestWeight);
  }

  /** Adds a job that was not started yet. */
  addFresh(node: ListNode<Job>): void {
    const queue = this.#teamQueue(node.value.team);
    queue.fresh.append(node);
    this.#active.add(queue);
  }

  /** Adds a job of which at least one task was started. */
  addStarted(node: ListNode<Job>): void {
    const queue = this.#teamQueue(node.value.team);
    queue.started.append(node);
    this.#active.add(queue);
  }

  /** Puts a job back where `next` finds it first. */
  restore(node: ListNode<Job>, started: boolean): void {
    const queue = this.#teamQueue(node.value.team);
    (started ? queue.started : queue.fresh).prepend(node);
    this.#active.add(queue);
  }

  /** Takes a job out, wherever it stands. */
  remove(node: ListNode<Job>): void {
    removeNode(node);
    const queue = this.#teams.get(node.value.team);
    if (queue !== undefined && isEmpty(queue)) this.#active.delete(queue);
  }

  /** Charges a job to its team and moves it to the started ones. */
  markStarted(node: ListNode<Job>): void {
    const queue = this.#teamQueue(node.value.team);
    const start = this.#startTag(queue);
    this.#virtualTime = start;
    queue.finish = start + node.value.cost / queue.weight;
    queue.started.append(node);
  }

  /** The job whose task goes next, among the teams that may start one. */
  next(mayStart: (team: TeamName) => boolean): ListNode<Job> | undefined {
    let started: TeamQueue<Job> | undefined;
    let fresh: TeamQueue<Job> | undefined;
    for (const queue of this.#active) {
      if (!mayStart(queue.team)) continue;
      if (queue.started.length > 0) started = this.#earlier(started, queue);
      else fresh = this.#earlier(fresh, queue);
    }
    if (started !== undefined) return started.started.first;
    return fresh?.fresh.first;
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

  #earlier(
    left: TeamQueue<Job> | undefined,
    right: TeamQueue<Job>,
  ): TeamQueue<Job> {
    if (left === undefined) return right;
    return this.#startTag(right) < this.#startTag(left) ? right : left;
  }

  #startTag(queue: TeamQueue<Job>): number {
    return Math.max(this.#virtualTime, queue.finish);
  }

  #teamQueue(team: TeamName): TeamQueue<Job> {
    const known = this.#teams.get(team);
    if (known !== undefined) return known;
    const created: TeamQueue<Job> = {
      team,
      weight: ordinaryWeight,
      finish: 0,
      started: new LinkedList(),
      fresh: new LinkedList(),
    };
    this.#teams.set(team, created);
    return created;
  }
}

function isEmpty<Job extends QueuedJob>(queue: TeamQueue<Job>): boolean {
  return queue.started.length === 0 && queue.fresh.length === 0;
}
