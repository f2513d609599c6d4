/** Steps of the model test: faults of callers, dispatchers, sidecars and workers, and the time between them. */
import { ProcessEnd } from '@cranberryturn/wire';

import {
  type FakeCallers,
  resumeInOrder,
  type ResumeOrder,
} from './fake-callers.js';
import { getItem } from './get-item.js';
import type { JobsFixture } from './jobs-fixture.js';
import { killProcesses } from './kill-processes.js';

/** What a step does. */
export enum Action {
  Submit = 'submit',
  BreakCaller = 'break-caller',
  CutOff = 'cut-off',
  Reconnect = 'reconnect',
  CutDispatchers = 'cut-dispatchers',
  ReconnectDispatchers = 'reconnect-dispatchers',
  ResetConnections = 'reset-connections',
  SuspendDispatcher = 'suspend-dispatcher',
  ResumeDispatcher = 'resume-dispatcher',
  RestartDispatcher = 'restart-dispatcher',
  SuspendSidecar = 'suspend-sidecar',
  ResumeSidecar = 'resume-sidecar',
  RestartSidecar = 'restart-sidecar',
  RestartWorker = 'restart-worker',
  RestartUnnoticed = 'restart-unnoticed',
  Report = 'report',
  ReportOther = 'report-other',
  Leave = 'leave',
  Silence = 'silence',
  DelayStart = 'delay-start',
  DelayStop = 'delay-stop',
  DelayRenewal = 'delay-renewal',
  LoseAnswer = 'lose-answer',
  LoseAllAnswers = 'lose-all-answers',
  LoseStop = 'lose-stop',
  LoseAllStops = 'lose-all-stops',
  LoseRenewals = 'lose-renewals',
  KillAll = 'kill-all',
  KillDispatcher = 'kill-dispatcher',
  KillSidecar = 'kill-sidecar',
  DelayOrders = 'delay-orders',
  Advance = 'advance',
}

/** One action, with what it may need. */
export interface Step {
  readonly action: Action;
  readonly job: number;
  readonly dispatcher: number;
  /** Dispatcher to which a caller submits its job again. */
  readonly nextDispatcher: number;
  readonly worker: number;
  readonly milliseconds: number;
  /** Delay of an order to a worker. */
  readonly orderDelayMilliseconds: number;
  /** Time until the close of a connection reaches the host of its dispatcher. */
  readonly deliveryMilliseconds: number;
  readonly resumeOrder: ResumeOrder;
  /** What the peers of a killed process notice. */
  readonly processEnd: ProcessEnd;
  /** Seed of the times at which processes end and start. */
  readonly seed: number;
  /** Time until the next step. */
  readonly gapMilliseconds: number;
}

/** Applies one step. */
export async function applyStep(
  fixture: JobsFixture,
  callers: FakeCallers,
  step: Step,
): Promise<void> {
  const { timers, network, hosts } = fixture;
  const host = getItem(hosts, step.worker);
  const { worker } = host;
  const dispatcher = getItem(fixture.dispatchers, step.dispatcher);
  const next = getItem(fixture.dispatchers, step.nextDispatcher);
  switch (step.action) {
    case Action.Submit:
      callers.submit(step.job, dispatcher);
      break;
    case Action.BreakCaller:
      callers.breakConnection(step.job, step.deliveryMilliseconds, next);
      break;
    case Action.CutOff:
      network.partition(host.name, dispatcher.name);
      break;
    case Action.Reconnect:
      network.heal(host.name, dispatcher.name);
      break;
    case Action.CutDispatchers:
      network.partition('dispatcher-0', 'dispatcher-1');
      break;
    case Action.ReconnectDispatchers:
      network.heal('dispatcher-0', 'dispatcher-1');
      break;
    case Action.ResetConnections:
      for (const connection of network.connections) {
        if (connection.from === host.name) connection.disconnect();
      }
      break;
    case Action.SuspendDispatcher:
      callers.suspend(dispatcher);
      break;
    case Action.ResumeDispatcher:
      await callers.resume(dispatcher, step.resumeOrder);
      break;
    case Action.RestartDispatcher:
      if (!dispatcher.isUp) break;
      callers.dispatcherCrashed(dispatcher, next);
      await dispatcher.restart();
      break;
    case Action.SuspendSidecar:
      host.suspension.suspend();
      break;
    case Action.ResumeSidecar:
      await resumeInOrder(host.suspension, step.resumeOrder, () => undefined);
      break;
    case Action.RestartSidecar:
      if (host.isUp) await host.restartSidecar();
      break;
    case Action.RestartWorker:
      host.restartWorker();
      break;
    case Action.RestartUnnoticed:
      host.restartUnnoticed();
      break;
    case Action.Report:
      host.report();
      break;
    case Action.ReportOther:
      host.reportOther(step.job % 2 === 0);
      break;
    case Action.Leave:
      host.gate.workerLeft(worker.run.workerId);
      break;
    case Action.Silence:
      worker.isSilent = !worker.isSilent;
      break;
    case Action.DelayStart:
      worker.nextStartDelayMilliseconds = step.orderDelayMilliseconds;
      break;
    case Action.DelayStop:
      worker.nextStopDelayMilliseconds = step.orderDelayMilliseconds;
      break;
    case Action.DelayRenewal:
      worker.nextRenewalDelayMilliseconds = step.orderDelayMilliseconds;
      break;
    case Action.LoseAnswer:
      worker.shouldLoseNextReply = true;
      break;
    case Action.LoseAllAnswers:
      worker.losesReplies = !worker.losesReplies;
      break;
    case Action.LoseStop:
      worker.shouldLoseNextStop = true;
      break;
    case Action.LoseAllStops:
      worker.stopsToLose = worker.stopsToLose > 0 ? 0 : Infinity;
      break;
    case Action.LoseRenewals:
      worker.loseWaitingRenewals();
      break;
    case Action.KillAll:
      killProcesses(fixture, callers, step, fixture.dispatchers, hosts);
      break;
    case Action.KillDispatcher:
      killProcesses(fixture, callers, step, [dispatcher], []);
      break;
    case Action.KillSidecar:
      killProcesses(fixture, callers, step, [], [host]);
      break;
    case Action.DelayOrders:
      host.maximumOrderDelay = host.maximumOrderDelay === 0 ? 60 : 0;
      break;
    case Action.Advance:
      await timers.advance(step.milliseconds);
      break;
  }
  await timers.advance(step.gapMilliseconds);
}
