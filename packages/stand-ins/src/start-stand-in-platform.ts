/** Platform for tests and measurements: serves leases, delayed usage and actions on running tasks over HTTP. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type {
  JobId,
  Milliseconds,
  TargetId,
  TaskId,
} from '@cranberryturn/types';
import { type Context, Hono } from 'hono';
import * as z from 'zod';

import { listenOnLoopback } from './listen-on-loopback.js';
import { createUsageHistory } from './usage-history.js';
import type { StandInTarget } from './start-stand-in-target.js';

/** Timers, targets and times of a stand-in platform. */
export interface StandInPlatformOptions {
  readonly timers: TimerService;
  readonly targets: readonly PlatformTarget[];
  /** Minimum age of the reported usage. */
  readonly usageLagMilliseconds: Milliseconds;
  /** Time after which a lease that is not renewed ends and its task is stopped. */
  readonly leaseMilliseconds: Milliseconds;
}

/** The part of a stand-in target that the platform acts on. */
export type PlatformTarget = Pick<StandInTarget, 'targetId' | 'running'>;

/** Actions of the platform on a lease; the values are segments of the HTTP path. */
export enum PlatformAction {
  Renew = 'renew',
  End = 'end',
  Checkpoint = 'checkpoint',
  Throttle = 'throttle',
  Stop = 'stop',
}

/** How the platform treats requests. */
export enum PlatformFault {
  None = 'none',
  /** No request is answered or carried out. */
  Silent = 'silent',
  /** Requests are carried out, but no answer is sent. */
  AnswersLost = 'answers-lost',
  /** Leases are refused. */
  Refusing = 'refusing',
}

/** One action that was requested from the platform. */
export interface PlatformActionRecord {
  readonly act: PlatformAction;
  readonly target: TargetId;
  readonly jobId: JobId;
  readonly taskId: TaskId;
  /** False if the task no longer ran. */
  readonly applied: boolean;
}

/** A running stand-in platform. */
export interface StandInPlatform {
  /** Base address; leases of a worker are at `/workers/{target}/leases`. */
  readonly url: string;
  /** Actions requested so far, oldest first. */
  readonly actions: readonly PlatformActionRecord[];
  /** Sets how requests are treated from now on. */
  setFault(fault: PlatformFault): void;
  close(): Promise<void>;
}

interface Lease {
  readonly target: PlatformTarget;
  readonly jobId: JobId;
  readonly taskId: TaskId;
  expiry: TimerSubscription;
}

const attemptSchema = z.object({ jobId: z.string(), taskId: z.string() });
const actionSchema = z.object({
  /** Share of a processor that a throttled task may use. */
  share: z.number().gt(0).max(1).default(1),
});

/** Starts a stand-in platform on a free port of the loopback address. */
export async function startStandInPlatform(
  options: StandInPlatformOptions,
): Promise<StandInPlatform> {
  const { timers, leaseMilliseconds } = options;
  const targets = new Map(options.targets.map(one => [one.targetId, one]));
  const usage = createUsageHistory(options);
  const leases = new Map<string, Lease>();
  const actions: PlatformActionRecord[] = [];
  let nextLease = 1;
  let fault = PlatformFault.None;

  const scheduleExpiry = (leaseId: string): TimerSubscription =>
    timers.after(leaseMilliseconds, () => {
      const lease = leases.get(leaseId);
      leases.delete(leaseId);
      lease?.target.running.stop(lease.jobId, lease.taskId);
    });

  const application = new Hono();
  application.use(async (_context, next) => {
    if (fault === PlatformFault.Silent) await waitForever();
    await next();
    if (fault === PlatformFault.AnswersLost) await waitForever();
  });
  application.get('/workers/:target/usage', context => {
    const target = targets.get(context.req.param('target'));
    if (target === undefined) return respondNotFound(context, 'worker');
    return context.json(usage.read(target.targetId));
  });
  application.post('/workers/:target/leases', async context => {
    const target = targets.get(context.req.param('target'));
    if (target === undefined) return respondNotFound(context, 'worker');
    if (fault === PlatformFault.Refusing) {
      return context.json(
        { error: 'The platform refuses leases for this worker.' },
        403,
      );
    }
    const attempt = attemptSchema.safeParse(await readBody(context));
    if (!attempt.success)
      return context.json({ error: 'The body needs jobId and taskId.' }, 400);
    const leaseId = `lease-${String(nextLease++)}`;
    leases.set(leaseId, {
      target,
      ...attempt.data,
      expiry: scheduleExpiry(leaseId),
    });
    return context.json({ leaseId, expiresInMilliseconds: leaseMilliseconds });
  });
  for (const act of Object.values(PlatformAction)) {
    application.post(`/workers/:target/leases/:lease/${act}`, async context => {
      const leaseId = context.req.param('lease');
      const lease = leases.get(leaseId);
      if (lease === undefined) return respondNotFound(context, 'lease');
      const body = actionSchema.safeParse(await readBody(context));
      const applied = performAction(lease, act, body.data?.share ?? 1);
      if (act === PlatformAction.Renew || act === PlatformAction.End) {
        lease.expiry.cancel();
      }
      if (act === PlatformAction.Renew) lease.expiry = scheduleExpiry(leaseId);
      if (act === PlatformAction.End) leases.delete(leaseId);
      const { target, jobId, taskId } = lease;
      actions.push({ act, target: target.targetId, jobId, taskId, applied });
      return context.json({
        applied,
        leaseId,
        expiresInMilliseconds: leaseMilliseconds,
      });
    });
  }
  const server = await listenOnLoopback(application.fetch);
  return {
    url: server.url,
    actions,
    setFault: next => {
      fault = next;
    },
    close: () => {
      usage.close();
      for (const lease of leases.values()) lease.expiry.cancel();
      return server.close();
    },
  };
}

function waitForever(): Promise<never> {
  return new Promise<never>(() => undefined);
}

function respondNotFound(context: Context, missing: string): Response {
  return context.json({ error: `There is no such ${missing}.` }, 404);
}

async function readBody(context: Context): Promise<unknown> {
  return context.req.json().catch(() => ({}));
}

function performAction(
  lease: Lease,
  act: PlatformAction,
  share: number,
): boolean {
  const { target, jobId, taskId } = lease;
  switch (act) {
    case PlatformAction.Renew:
    case PlatformAction.End:
      return true;
    case PlatformAction.Checkpoint:
      return target.running.has(jobId, taskId);
    case PlatformAction.Throttle:
      return target.running.throttle(jobId, taskId, 1 / share);
    case PlatformAction.Stop:
      return target.running.stop(jobId, taskId);
  }
}
