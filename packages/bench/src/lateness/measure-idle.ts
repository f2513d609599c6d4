/** Measures the processors that are idle while tasks that would fit wait. */
import type { LoggedPlay, LoggedRun } from './collect-jobs.js';

/** Where a task waits while processors are idle. */
export enum WaitingPlace {
  /** Not placed: at its dispatcher or in a shared queue. */
  Queue = 'not placed',
  /** An order is on its way. */
  Order = 'order under way',
  /** In the queue of a worker, while another has room. */
  Worker = 'at a worker',
}

/** Processor-seconds used, and idle while a task waits, by the place where it waits. */
export interface IdleTimes {
  readonly used: number;
  readonly idle: Readonly<Record<WaitingPlace, number>>;
}

interface Change {
  readonly at: number;
  readonly worker?: string;
  /** Change of the processors in use at the worker. */
  readonly used?: number;
  readonly place?: WaitingPlace;
  /** Change of the processors that wait at the place. */
  readonly waiting?: number;
}

const millisecondsPerSecond = 1_000;

/** Measures a play. Idle processors are counted once, for the tasks that wait longest on their way first. */
export function measureIdle({ jobs, workers }: LoggedPlay): IdleTimes {
  const changes: Change[] = [];
  for (const job of jobs.values()) {
    for (const runs of job.runs.values()) {
      let readyAt = job.admittedAt;
      for (const run of runs) {
        changes.push(...listChanges(run, readyAt));
        readyAt = run.endedAt ?? run.placedAt;
      }
    }
  }
  changes.sort((left, right) => left.at - right.at);
  return integrate(changes, workers);
}

function listChanges(run: LoggedRun, readyAt: number): readonly Change[] {
  const { placedAt, receivedAt, startedAt, endedAt, processors, worker } = run;
  const changes: Change[] = [];
  const wait = (
    place: WaitingPlace,
    from: number,
    until: number | undefined,
  ): void => {
    if (until === undefined || until <= from) return;
    changes.push({ at: from, place, waiting: processors });
    changes.push({ at: until, place, waiting: -processors });
  };
  wait(WaitingPlace.Queue, readyAt, placedAt);
  wait(WaitingPlace.Order, placedAt, receivedAt);
  if (receivedAt !== undefined)
    wait(WaitingPlace.Worker, receivedAt, startedAt ?? endedAt);
  if (startedAt !== undefined && endedAt !== undefined) {
    changes.push({ at: startedAt, worker, used: processors });
    changes.push({ at: endedAt, worker, used: -processors });
  }
  return changes;
}

function integrate(
  changes: readonly Change[],
  workers: LoggedPlay['workers'],
): IdleTimes {
  const usedBy = new Map<string, number>();
  const waiting = {
    [WaitingPlace.Queue]: 0,
    [WaitingPlace.Order]: 0,
    [WaitingPlace.Worker]: 0,
  };
  const idle = { ...waiting };
  let used = 0;
  let total = 0;
  let previousAt = changes[0]?.at ?? 0;
  for (const {
    at,
    worker,
    used: change = 0,
    place,
    waiting: more = 0,
  } of changes) {
    const seconds = (at - previousAt) / millisecondsPerSecond;
    previousAt = at;
    used += total * seconds;
    let free = countFree(usedBy, workers);
    for (const one of Object.values(WaitingPlace)) {
      const unused = Math.min(free, Math.max(0, waiting[one]));
      idle[one] += unused * seconds;
      free -= unused;
    }
    if (worker !== undefined)
      usedBy.set(worker, (usedBy.get(worker) ?? 0) + change);
    total += change;
    if (place !== undefined) waiting[place] += more;
  }
  return { used, idle };
}

/** Free processors of the workers that run something, so that those which have left do not count. */
function countFree(
  usedBy: ReadonlyMap<string, number>,
  workers: LoggedPlay['workers'],
): number {
  let free = 0;
  for (const [worker, used] of usedBy)
    if (used > 0) free += Math.max(0, (workers.get(worker) ?? 0) - used);
  return free;
}
