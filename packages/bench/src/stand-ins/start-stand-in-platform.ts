/** A platform for tests and measurements: leases, lagged usage, and acts on running tasks, over HTTP. */
import type { TimerService } from '@cranberryturn/timers';
import type { Milliseconds, TargetId } from '@cranberryturn/types';
import { type Context, Hono } from 'hono';
import { z } from 'zod';

import { listenOnLoopback } from './listen-on-loopback.js';
import type { StandInTarget } from './start-stand-in-target.js';

/** What a stand-in platform is built from. */
export interface StandInPlatformOptions {
  readonly timers: TimerService;
  readonly targets: readonly Pick<StandInTarget, 'targetId' | 'running'>[];
  /** Age of the usage that is reported. */
  readonly usageLagMilliseconds: Milliseconds;
  readonly leaseMilliseconds: Milliseconds;
}

/** Usage of one worker as the platform reports it. */
export interface UsageReport {
  readonly targetId: TargetId;
  readonly runningTasks: number;
  readonly ageMilliseconds: Milliseconds;
}

/** Acts of the platform on running tasks. */
export enum PlatformAct {
  Checkpoint = 'checkpoint',
  Throttle = 'throttle',
  Stop = 'stop',
}

/** One act that the platform was asked for. */
export interface PlatformActRecord {
  readonly act: PlatformAct;
  readonly target: TargetId;
  readonly jobId: string;
  readonly taskId: string;
  /** False when the task did not run any more. */
  readonly applied: boolean;
}

/** A running stand-in platform. */
export interface StandInPlatform {
  readonly url: string;
  /** Acts asked for so far, oldest first. */
  readonly acts: readonly PlatformActRecord[];
  close(): Promise<void>;
}

interface UsageSample {
  readonly at: Milliseconds;
  readonly runningTasks: number;
}

const samplesKept = 200;
const samplePeriodMilliseconds: Milliseconds = 100;
const taskSchema = z.object({
  jobId: z.string(),
  taskId: z.string(),
  factor: z.number().min(1).default(2),
});

type PlatformTarget = StandInPlatformOptions['targets'][number];

/** Starts a stand-in platform on a free port of the loopback address. */
export async function startStandInPlatform(
  options: StandInPlatformOptions,
): Promise<StandInPlatform> {
  const { timers } = options;
  const targets = new Map(options.targets.map(one => [one.targetId, one]));
  const samples = new Map<TargetId, UsageSample[]>();
  const acts: PlatformActRecord[] = [];
  const sampling = timers.every(samplePeriodMilliseconds, () => {
    sampleUsage(options, samples);
  });
  const application = new Hono();
  application.post('/leases/:target', context => {
    if (!targets.has(context.req.param('target'))) return unknown(context);
    return context.json({ leaseMilliseconds: options.leaseMilliseconds });
  });
  application.get('/usage/:target', context => {
    const target = context.req.param('target');
    if (!targets.has(target)) return unknown(context);
    return context.json(readUsage(options, target, samples.get(target) ?? []));
  });
  for (const act of Object.values(PlatformAct)) {
    application.post(`/workers/:target/${act}`, async context => {
      const target = targets.get(context.req.param('target'));
      if (target === undefined) return unknown(context);
      const task = taskSchema.safeParse(await context.req.json());
      if (!task.success)
        return context.json({ error: task.error.message }, 400);
      const { jobId, taskId, factor } = task.data;
      const applied = performAct(target, act, jobId, taskId, factor);
      acts.push({ act, target: target.targetId, jobId, taskId, applied });
      return context.json({ applied });
    });
  }
  const server = await listenOnLoopback(application.fetch);
  return {
    url: server.url,
    acts,
    close: () => {
      sampling.cancel();
      return server.close();
    },
  };
}

function unknown(context: Context): Response {
  return context.json({ error: 'No such worker.' }, 404);
}

function sampleUsage(
  { timers, targets }: StandInPlatformOptions,
  samples: Map<TargetId, UsageSample[]>,
): void {
  for (const target of targets) {
    const kept = samples.get(target.targetId) ?? [];
    kept.push({ at: timers.now(), runningTasks: target.running.count() });
    if (kept.length > samplesKept) kept.shift();
    samples.set(target.targetId, kept);
  }
}

function readUsage(
  { timers, usageLagMilliseconds }: StandInPlatformOptions,
  targetId: TargetId,
  samples: readonly UsageSample[],
): UsageReport {
  const newest = timers.now() - usageLagMilliseconds;
  const sample = samples.findLast(one => one.at <= newest);
  return {
    targetId,
    runningTasks: sample?.runningTasks ?? 0,
    ageMilliseconds: timers.now() - (sample?.at ?? newest),
  };
}

function performAct(
  { running }: PlatformTarget,
  act: PlatformAct,
  jobId: string,
  taskId: string,
  factor: number,
): boolean {
  switch (act) {
    case PlatformAct.Checkpoint:
      return running.has(jobId, taskId);
    case PlatformAct.Throttle:
      return running.throttle(jobId, taskId, factor);
    case PlatformAct.Stop:
      return running.stop(jobId, taskId);
  }
}
