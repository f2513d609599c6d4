/** A worker in memory that keeps the published rules of runs, with faults that a test sets. */
import { ConnectionError, TimeoutError } from '@cranberryturn/errors';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  WorkerResources,
  WorkerRun,
} from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import {
  type EndedRun,
  nameTask,
  type RenewReply,
  type StartRunOrder,
  type StopRunOrder,
  WorkerRunOutcome,
  WorkerRefusal,
  type WorkerCallError,
  type WorkerOrder,
  type WorkerPort,
  type WorkerReply,
} from '../ports/worker.js';

const answerDelay: Milliseconds = 1;
const silenceTimeout: Milliseconds = 250;
const longestLease: Milliseconds = 1_000;
const stopTime: Milliseconds = 20;
const tick: Milliseconds = 5;

/** One run at work. */
export interface FakeRun extends StartRunOrder {
  readonly startedAt: Milliseconds;
  endsAt: Milliseconds;
  end: WorkerRunOutcome;
}

/** What one worker did, and the faults of its orders. */
export interface FakeWorker {
  readonly run: WorkerRun;
  readonly port: WorkerPort;
  /** Runs at work. */
  readonly activeRuns: Map<string, FakeRun>;
  /** Every start that was carried out. */
  readonly starts: FakeRun[];
  readonly ended: EndedRun[];
  /** Largest number of processors in use at the same time. */
  maximumProcessorsInUse: number;
  /** Highest end that was acknowledged. */
  acknowledgedSequence: number;
  /** Orders get no answer and are not carried out. */
  isSilent: boolean;
  /** The next start gets no answer and is carried out this much later. */
  nextStartDelayMilliseconds: Milliseconds | undefined;
  /** The next start is carried out and its answer is lost. */
  shouldLoseNextReply: boolean;
  isUnhealthy: boolean;
  /** Run time of the tasks that start from now on. */
  runMilliseconds: Milliseconds;
  /** Run time of one task; `runMilliseconds` where it chooses none. */
  chooseRunMilliseconds:
    ((order: StartRunOrder) => Milliseconds | undefined) | undefined;
  /** How the tasks that start from now on end. */
  nextOutcome: WorkerRunOutcome;
  /** Everything at work ends, and further orders are refused. */
  crash(): void;
}

/** Creates a worker. `need` is what each of its tasks uses. */
export function createFakeWorker(options: {
  readonly timers: TimerService;
  readonly run: WorkerRun;
  readonly need: WorkerResources;
}): FakeWorker {
  const { timers, run, need } = options;
  const bornAt = timers.now();
  const closedRuns = new Map<string, number>();
  const waiters = new Set<() => void>();
  let leaseEnd = 0;
  let highestToken = 0;
  let crashed = false;
  let sequence = 0;

  const clock = (): Milliseconds => timers.now() - bornAt;

  const endRun = (name: string, end: WorkerRunOutcome): void => {
    const atWork = worker.activeRuns.get(name);
    if (atWork === undefined) return;
    worker.activeRuns.delete(name);
    closedRuns.set(name, Math.max(closedRuns.get(name) ?? 0, atWork.run));
    sequence += 1;
    const { jobId, taskId } = atWork;
    worker.ended.push({ jobId, taskId, run: atWork.run, sequence, end });
    for (const wake of waiters) wake();
  };

  const step = (): void => {
    if (clock() >= leaseEnd) {
      for (const name of worker.activeRuns.keys())
        endRun(name, WorkerRunOutcome.Expired);
    }
    for (const [name, atWork] of worker.activeRuns) {
      if (atWork.endsAt <= timers.now()) endRun(name, atWork.end);
    }
  };

  const extendLease = (deadline: Milliseconds): void => {
    leaseEnd = Math.max(leaseEnd, Math.min(deadline, clock() + longestLease));
  };

  const findRefusal = (order: WorkerOrder): WorkerRefusal | undefined => {
    if (order.fencingToken < highestToken) return WorkerRefusal.Fenced;
    highestToken = order.fencingToken;
    return undefined;
  };

  const start = (order: StartRunOrder): WorkerReply => {
    const refusal = findRefusal(order);
    if (refusal !== undefined) return { accepted: false, refusal };
    if (worker.isUnhealthy)
      return { accepted: false, refusal: WorkerRefusal.Unhealthy };
    if (order.deadline <= clock())
      return { accepted: false, refusal: WorkerRefusal.Late };
    extendLease(order.deadline);
    const name = nameTask(order.jobId, order.taskId);
    if (order.run <= (closedRuns.get(name) ?? 0)) {
      return { accepted: false, refusal: WorkerRefusal.OldRun };
    }
    if (worker.activeRuns.get(name)?.run === order.run)
      return { accepted: true, clock: clock() };
    const atWork: FakeRun = {
      ...order,
      startedAt: timers.now(),
      endsAt:
        timers.now() +
        (worker.chooseRunMilliseconds?.(order) ?? worker.runMilliseconds),
      end: worker.nextOutcome,
    };
    worker.activeRuns.set(name, atWork);
    worker.starts.push(atWork);
    worker.maximumProcessorsInUse = Math.max(
      worker.maximumProcessorsInUse,
      worker.activeRuns.size * need.processors,
    );
    return { accepted: true, clock: clock() };
  };

  const stop = (order: StopRunOrder): WorkerReply => {
    const refusal = findRefusal(order);
    if (refusal !== undefined) return { accepted: false, refusal };
    const name = nameTask(order.jobId, order.taskId);
    const atWork = worker.activeRuns.get(name);
    closedRuns.set(name, Math.max(closedRuns.get(name) ?? 0, order.run));
    if (atWork?.run === order.run) {
      atWork.endsAt = Math.min(atWork.endsAt, timers.now() + stopTime);
      if (atWork.endsAt > timers.now()) atWork.end = WorkerRunOutcome.Stopped;
    }
    return { accepted: true, clock: clock() };
  };

  const answer = async <Reply>(
    carryOut: () => Reply,
  ): Promise<Result<Reply, WorkerCallError>> => {
    if (crashed) return err(refusedConnection(run.workerId));
    if (worker.isSilent) return await giveNoAnswer(timers, run.workerId);
    await sleep(timers, answerDelay);
    return ok(carryOut());
  };

  const startOrder = async (
    order: StartRunOrder,
  ): Promise<Result<WorkerReply, WorkerCallError>> => {
    const delay = worker.nextStartDelayMilliseconds;
    worker.nextStartDelayMilliseconds = undefined;
    if (delay !== undefined) {
      timers.after(delay, () => start(order));
      return await giveNoAnswer(timers, run.workerId);
    }
    if (!worker.shouldLoseNextReply) return await answer(() => start(order));
    worker.shouldLoseNextReply = false;
    start(order);
    return await giveNoAnswer(timers, run.workerId);
  };

  const wait = (duration: Milliseconds): Promise<void> =>
    new Promise(resolve => {
      if (
        duration === 0 ||
        worker.ended.some(end => end.sequence > worker.acknowledgedSequence)
      ) {
        resolve();
        return;
      }
      const wake = (): void => {
        waiters.delete(wake);
        expiry.cancel();
        resolve();
      };
      const expiry = timers.after(duration, wake);
      waiters.add(wake);
    });

  const worker: FakeWorker = {
    run,
    activeRuns: new Map(),
    starts: [],
    ended: [],
    maximumProcessorsInUse: 0,
    acknowledgedSequence: 0,
    isSilent: false,
    nextStartDelayMilliseconds: undefined,
    shouldLoseNextReply: false,
    isUnhealthy: false,
    runMilliseconds: 100,
    chooseRunMilliseconds: undefined,
    nextOutcome: WorkerRunOutcome.Done,
    crash: () => {
      crashed = true;
      worker.activeRuns.clear();
      ticker.cancel();
    },
    port: {
      startRun: order => new ResultAsync(startOrder(order)),
      stopRun: order => new ResultAsync(answer(() => stop(order))),
      renewLease: order =>
        new ResultAsync(
          answer((): RenewReply | undefined => {
            const refusal = findRefusal(order);
            if (refusal !== undefined) return { accepted: false, refusal };
            extendLease(order.deadline);
            worker.acknowledgedSequence = Math.max(
              worker.acknowledgedSequence,
              order.acknowledgedSequence,
            );
            return undefined;
          }).then(
            async (early): Promise<Result<RenewReply, WorkerCallError>> => {
              if (early.isErr()) return err(early.error);
              if (early.value !== undefined) return ok(early.value);
              await wait(order.waitMilliseconds);
              if (crashed) return err(refusedConnection(run.workerId));
              return ok({
                accepted: true,
                status: {
                  clock: clock(),
                  running: [...worker.activeRuns.values()].map(
                    ({ jobId, taskId, run: number, startedAt, endsAt }) => ({
                      jobId,
                      taskId,
                      run: number,
                      progress: tellProgress(
                        timers.now() - startedAt,
                        endsAt - startedAt,
                      ),
                    }),
                  ),
                  ended: worker.ended.filter(
                    end => end.sequence > worker.acknowledgedSequence,
                  ),
                },
              });
            },
          ),
        ),
      close: () => undefined,
    },
  };
  const ticker = timers.every(tick, step);
  return worker;
}

/** Workers tell their progress in hundredths. */
function tellProgress(elapsed: Milliseconds, whole: Milliseconds): number {
  return Math.floor((elapsed / whole) * 100) / 100;
}

async function giveNoAnswer(
  timers: TimerService,
  peer: string,
): Promise<Result<never, WorkerCallError>> {
  await sleep(timers, silenceTimeout);
  return err(
    new TimeoutError('No answer in time.', { step: 'call worker', peer }),
  );
}

function refusedConnection(peer: string): WorkerCallError {
  return new ConnectionError('The connection was refused.', {
    step: 'call worker',
    peer,
  });
}
