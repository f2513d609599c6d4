/** In-memory worker that follows the published run protocol, with faults that a test injects. */
import { sleep, type TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  WorkerResources,
  WorkerRun,
} from '@cranberryturn/types';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import {
  nameTask,
  type RenewOrder,
  type RenewReply,
  type StartRunOrder,
  type StopRunOrder,
  WorkerRunOutcome,
  WorkerRefusal,
  type WorkerCallError,
  type WorkerOrder,
  type WorkerReply,
} from '../ports/worker.js';
import { composeStatus } from './compose-status.js';
import {
  expireRun,
  type FakeRun,
  type FakeWorker,
  stopRun,
} from './fake-worker-state.js';
import { createConnectionError, failWithTimeout } from './worker-errors.js';

const defaultReplyTimeoutMilliseconds: Milliseconds = 250;
const maximumLeaseMilliseconds: Milliseconds = 1_000;
const tickMilliseconds: Milliseconds = 5;

/** Creates a fake worker. `need` is the resources that each task uses, `clockRate` is below 1 for a slow clock. */
export function createFakeWorker(options: {
  readonly timers: TimerService;
  readonly run: WorkerRun;
  readonly need: WorkerResources;
  readonly clockRate?: number | undefined;
}): FakeWorker {
  const { timers, run, need, clockRate = 1 } = options;
  const bornAt = timers.now();
  const highestClosedRuns = new Map<string, number>();
  const waitingRenewals = new Set<() => void>();
  let leaseEndsAt = 0;
  let highestToken = 0;
  let hasCrashed = false;
  let sequence = 0;
  /** Number of times that the replies to waiting renewals were lost. */
  let losses = 0;

  const clock = (): Milliseconds =>
    (timers.now() - bornAt) * clockRate + worker.clockAheadMilliseconds;

  const endRun = (name: string, end: WorkerRunOutcome): void => {
    const activeRun = worker.activeRuns.get(name);
    if (activeRun === undefined) return;
    worker.activeRuns.delete(name);
    highestClosedRuns.set(
      name,
      Math.max(highestClosedRuns.get(name) ?? 0, activeRun.run),
    );
    sequence += 1;
    const { jobId, taskId } = activeRun;
    worker.ended.push({ jobId, taskId, run: activeRun.run, sequence, end });
    for (const wake of waitingRenewals) wake();
  };

  const step = (): void => {
    if (clock() >= leaseEndsAt) {
      const endsAt = timers.now() + worker.expiryMilliseconds;
      for (const activeRun of worker.activeRuns.values())
        expireRun(activeRun, endsAt);
    }
    for (const [name, activeRun] of worker.activeRuns) {
      if (activeRun.endsAt <= timers.now()) endRun(name, activeRun.end);
    }
  };

  const extendLease = (deadline: Milliseconds | undefined): void => {
    if (deadline === undefined) return;
    leaseEndsAt = Math.max(
      leaseEndsAt,
      Math.min(deadline, clock() + maximumLeaseMilliseconds),
    );
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
    if (order.run <= (highestClosedRuns.get(name) ?? 0)) {
      return { accepted: false, refusal: WorkerRefusal.OldRun };
    }
    if (worker.activeRuns.get(name)?.run === order.run)
      return { accepted: true, clock: clock() };
    const activeRun: FakeRun = {
      ...order,
      startedAt: timers.now(),
      endsAt:
        timers.now() +
        (worker.chooseRunMilliseconds?.(order) ?? worker.runMilliseconds),
      end: worker.nextOutcome,
      hasExpired: false,
    };
    worker.activeRuns.set(name, activeRun);
    worker.starts.push(activeRun);
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
    const activeRun = worker.activeRuns.get(name);
    highestClosedRuns.set(
      name,
      Math.max(highestClosedRuns.get(name) ?? 0, order.run),
    );
    if (activeRun?.run === order.run)
      stopRun(activeRun, timers.now(), worker.stopMilliseconds);
    return { accepted: true, clock: clock() };
  };

  const carryOutLate = async (
    order: WorkerOrder,
    delay: Milliseconds,
    carryOut: () => void,
  ): Promise<Result<never, WorkerCallError>> => {
    timers.after(delay, () => {
      if (!hasCrashed) carryOut();
    });
    return await failWithTimeout(timers, run.workerId, order);
  };

  const sendReply = async <Reply>(
    order: WorkerOrder,
    carryOut: () => Reply,
  ): Promise<Result<Reply, WorkerCallError>> => {
    if (hasCrashed) return err(createConnectionError(run.workerId));
    if (worker.isSilent)
      return await failWithTimeout(timers, run.workerId, order);
    const delay = worker.replyDelayMilliseconds;
    if (delay > (order.replyTimeout ?? defaultReplyTimeoutMilliseconds))
      return await carryOutLate(order, delay, carryOut);
    await sleep(timers, delay);
    if (hasCrashed) return err(createConnectionError(run.workerId));
    const reply = carryOut();
    if (worker.losesReplies)
      return await failWithTimeout(timers, run.workerId, order);
    return ok(reply);
  };

  const startOrder = async (
    order: StartRunOrder,
  ): Promise<Result<WorkerReply, WorkerCallError>> => {
    const delay = worker.nextStartDelayMilliseconds;
    worker.nextStartDelayMilliseconds = undefined;
    if (delay !== undefined)
      return await carryOutLate(order, delay, () => start(order));
    if (!worker.shouldLoseNextReply)
      return await sendReply(order, () => start(order));
    worker.shouldLoseNextReply = false;
    start(order);
    return await failWithTimeout(timers, run.workerId, order);
  };

  const stopOrder = async (
    order: StopRunOrder,
  ): Promise<Result<WorkerReply, WorkerCallError>> => {
    const delay = worker.nextStopDelayMilliseconds;
    worker.nextStopDelayMilliseconds = undefined;
    if (delay !== undefined)
      return await carryOutLate(order, delay, () => stop(order));
    if (!worker.shouldLoseNextStop && worker.stopsToLose === 0)
      return await sendReply(order, () => stop(order));
    worker.shouldLoseNextStop = false;
    worker.stopsToLose = Math.max(0, worker.stopsToLose - 1);
    return await failWithTimeout(timers, run.workerId, order);
  };

  const renew = (order: RenewOrder): RenewReply | undefined => {
    const refusal = findRefusal(order);
    if (refusal !== undefined) return { accepted: false, refusal };
    extendLease(order.deadline);
    worker.acknowledgedSequence = Math.max(
      worker.acknowledgedSequence,
      order.acknowledgedSequence,
    );
    return undefined;
  };

  const renewOrder = async (
    order: RenewOrder,
  ): Promise<Result<RenewReply | undefined, WorkerCallError>> => {
    const delay = worker.nextRenewalDelayMilliseconds;
    worker.nextRenewalDelayMilliseconds = undefined;
    return delay === undefined
      ? await sendReply(order, () => renew(order))
      : await carryOutLate(order, delay, () => renew(order));
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
        waitingRenewals.delete(wake);
        expiry.cancel();
        resolve();
      };
      const expiry = timers.after(duration, wake);
      waitingRenewals.add(wake);
    });

  const worker: FakeWorker = {
    run,
    activeRuns: new Map(),
    starts: [],
    ended: [],
    maximumProcessorsInUse: 0,
    acknowledgedSequence: 0,
    isSilent: false,
    hasUnreadableLists: false,
    nextStartDelayMilliseconds: undefined,
    nextStopDelayMilliseconds: undefined,
    nextRenewalDelayMilliseconds: undefined,
    shouldLoseNextReply: false,
    shouldLoseNextStop: false,
    stopsToLose: 0,
    losesReplies: false,
    replyDelayMilliseconds: 1,
    stopMilliseconds: 20,
    expiryMilliseconds: 0,
    get leaseEndsAt() {
      return timers.now() + (leaseEndsAt - clock()) / clockRate;
    },
    isUnhealthy: false,
    runMilliseconds: 100,
    clockAheadMilliseconds: 0,
    chooseRunMilliseconds: undefined,
    nextOutcome: WorkerRunOutcome.Done,
    loseWaitingRenewals: () => {
      losses += 1;
    },
    crash: () => {
      hasCrashed = true;
      worker.activeRuns.clear();
      ticker.cancel();
    },
    port: {
      startRun: order => new ResultAsync(startOrder(order)),
      stopRun: order => new ResultAsync(stopOrder(order)),
      renewLease: order =>
        new ResultAsync(
          renewOrder(order).then(
            async (early): Promise<Result<RenewReply, WorkerCallError>> => {
              if (early.isErr()) return err(early.error);
              if (early.value !== undefined) return ok(early.value);
              const lost = losses;
              await wait(order.waitMilliseconds);
              if (lost !== losses && order.waitMilliseconds > 0) {
                return await failWithTimeout(timers, run.workerId, order);
              }
              if (hasCrashed) return err(createConnectionError(run.workerId));
              const status = composeStatus(worker, clock(), timers.now());
              return ok({ accepted: true, status });
            },
          ),
        ),
      close: () => undefined,
    },
  };
  const ticker = timers.every(tickMilliseconds, step);
  return worker;
}
