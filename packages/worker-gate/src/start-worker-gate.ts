/** Connects all dispatchers with one worker: keeps the sessions, and an executor for the current incarnation. */
import { Counter } from '@cranberryturn/metrics';
import { sleep } from '@cranberryturn/timers';
import {
  type DispatcherId,
  type Milliseconds,
  type RunEnd,
  RunEndReason,
} from '@cranberryturn/types';
import {
  defaultRunValidity,
  FromWorkerKind,
  type ToWorkerMessage,
  ToWorkerKind,
} from '@cranberryturn/wire';

import { createRefusals } from './active-run.js';
import { chooseRunCounter } from './choose-run-counter.js';
import { CrashEvidence, CrashReports } from './crash-reports.js';
import { DispatcherLeases } from './dispatcher-leases.js';
import { type DispatcherSession, selectRuns } from './dispatcher-session.js';
import { DispatcherReports } from './dispatcher-reports.js';
import { DispatcherSessions } from './dispatcher-sessions.js';
import { EvacuationGuard } from './evacuation-guard.js';
import { Fencing } from './fencing.js';
import { LeftoverRuns } from './leftover-runs.js';
import { QueuePresences } from './queue-presence.js';
import { type EndEvidence, EvidenceKind } from './run-evidence.js';
import { SessionPhase } from './session-phase.js';
import { watchConnections } from './watch-connections.js';
import { WorkerExecutor } from './worker-executor.js';
import type { IncarnationEvents } from './worker-executor-options.js';
import { UnreportedWorker } from './unreported-worker.js';
import type { WorkerGate, WorkerGateOptions } from './worker-gate-options.js';
import { WorkerIncarnations } from './worker-incarnations.js';
import type { WorkerReport } from './worker-report.js';

const stopPollMilliseconds: Milliseconds = 20;
/** Time for the worker to confirm stops at the end of a planned stop. */
const stopConfirmationMilliseconds: Milliseconds = 300;

/** Starts the gate of one worker. */
export function startWorkerGate(options: WorkerGateOptions): WorkerGate {
  const { timers, logger, metrics, validity = defaultRunValidity } = options;
  const fencing = new Fencing(timers);
  const leases = new DispatcherLeases(validity);
  const leftovers = new LeftoverRuns({ timers, logger, fencing });
  const unreported = new UnreportedWorker({
    openPort: options.openUnreportedWorker,
    leftovers,
    fencing,
  });
  const presences = new QueuePresences();
  const crashes = new CrashReports({
    timers,
    logger,
    metrics,
    presences,
    recorded: () => {
      for (const session of sessions.listConnected())
        reports.reportCrashes(session, crashes.listRecent().slice(-1));
    },
  });
  let isStopping = false;
  const reports = new DispatcherReports({
    timers,
    heartbeatMilliseconds: validity.heartbeatMilliseconds,
    sessions: () => sessions,
    load: () => incarnations.executor?.load,
    offered: () => incarnations.offered,
    hasWorkFor: dispatcher => incarnations.hasWorkFor(dispatcher),
    evacuationVersion: () => evacuations.version,
  });
  const evacuations = new EvacuationGuard({
    isEnabled: options.evacuations === true,
    timers,
    logger,
    countConnectedDispatchers: () => sessions.listConnected().length,
    changed: () => {
      const { executor } = incarnations;
      logger.info('state of evacuations applied', {
        evacuationVersion: evacuations.version,
        worker: executor?.worker.workerId,
        dataCentre: executor?.worker.dataCentre,
        isEvacuated: executor?.load.evacuated === true,
        activeRuns: executor?.listActiveRuns().length,
      });
      // Returns the queued runs in an evacuation.
      executor?.startWaitingRuns();
      reports.reportToAll();
    },
  });

  const runEnded = (
    dispatcher: DispatcherId,
    end: RunEnd,
    evidence: EndEvidence,
  ): void => {
    metrics.count(chooseRunCounter(end.outcome));
    const isEvacuated = end.reason === RunEndReason.Evacuated;
    if (isEvacuated) metrics.count(Counter.RunsReturnedEvacuated);
    logger.info('run ended', {
      dispatcher,
      worker: incarnations.executor?.worker.workerId,
      ...end,
      evidence: evidence.kind,
      ...(isEvacuated ? { evacuationVersion: evacuations.version } : {}),
    });
    const session = sessions.findSession(dispatcher);
    if (session !== undefined) reports.reportEnd(session, end);
    reports.reportFreedCapacity();
  };

  const handleMessage = (
    session: DispatcherSession,
    message: ToWorkerMessage,
  ): void => {
    const { executor } = incarnations;
    leases.renew(session.dispatcherId, message.echo, timers.now());
    switch (message.kind) {
      case ToWorkerKind.PlaceRuns:
        acceptOrder(session, message);
        return;
      case ToWorkerKind.StopRuns:
        executor?.stopRuns(
          RunEndReason.Cancelled,
          selectRuns(session, message),
        );
        return;
      case ToWorkerKind.ReturnRuns:
        executor?.returnWaitingRuns(selectRuns(session, message));
        return;
      case ToWorkerKind.Heartbeat:
        // Runs may wait for a newer echo.
        executor?.startWaitingRuns();
        return;
      case ToWorkerKind.KnownDispatchers:
        sessions.updateDispatchers(message);
        return;
      case ToWorkerKind.Evacuations:
        evacuations.receive(message, session.dispatcherId);
        return;
    }
  };

  const acceptOrder = (
    session: DispatcherSession,
    { order }: Extract<ToWorkerMessage, { kind: ToWorkerKind.PlaceRuns }>,
  ): void => {
    session.orders += 1;
    reports.recordOrder(order);
    logger.info('order received', {
      requestId: order.requestId,
      jobId: order.jobId,
      tasks: order.tasks,
      dispatcher: session.dispatcherId,
      grant: order.grant,
    });
    const { executor } = incarnations;
    const hasLeft = session.phase === SessionPhase.Left;
    if (executor !== undefined && !isStopping && !hasLeft) {
      executor.acceptOrder(order);
      return;
    }
    const reason =
      isStopping || hasLeft ? RunEndReason.Draining : RunEndReason.WorkerGone;
    for (const end of createRefusals(order, reason))
      runEnded(session.dispatcherId, end, {
        kind: EvidenceKind.NotStarted,
        reason,
      });
  };

  const sessions: DispatcherSessions = new DispatcherSessions({
    ...options,
    sessionOpened: session => {
      // Before the announcement, upon which the dispatcher places tasks.
      reports.reportCrashes(session, crashes.listRecent());
      reports.announceWorker(session);
      sessions.coordination.tell(session);
      sessions.coordination.check();
    },
    sessionSuspected: () => {
      sessions.coordination.check();
    },
    sendReport: (session, body) => {
      reports.send(session, body);
    },
    received: handleMessage,
    phaseChanged: session => {
      reports.reportPhase(session);
      sessions.coordination.check();
    },
    sessionLost: session => {
      leases.endLease(session.dispatcherId);
      incarnations.executor?.stopRuns(RunEndReason.DispatcherSilent, {
        dispatcher: session.dispatcherId,
      });
    },
    hasWorkFor: dispatcher => incarnations.hasWorkFor(dispatcher),
  });

  const openExecutor = (
    { worker, bornAt }: WorkerReport,
    events: IncarnationEvents,
  ): WorkerExecutor => {
    const opened: WorkerExecutor = new WorkerExecutor({
      worker,
      port: watchConnections(options.openWorker(worker, bornAt), timers, () => {
        if (opened.isDraining) return;
        const runs = opened.listActiveRuns();
        crashes.record(worker, runs, CrashEvidence.ConnectionRefused);
      }),
      presences,
      timers,
      logger,
      fencing,
      leases,
      leftovers,
      evacuations: evacuations.createRule(worker.dataCentre),
      validity,
      reportsStartedWork: options.reportsStartedWork,
      runEnded,
      runsStalled: (dispatcher, runs) => {
        const session = sessions.findSession(dispatcher);
        if (session === undefined) return;
        reports.send(session, { kind: FromWorkerKind.StalledRuns, runs });
      },
      runsLost: runs => {
        crashes.addLostRuns(worker, runs);
      },
      stateChanged: () => {
        if (opened.lease.isReady) crashes.forgetLostRuns();
        reports.announceToAll();
      },
      capacityFreed: () => {
        reports.reportToAll();
      },
      ...events,
      answered: () => {
        unreported.close();
        events.answered();
      },
    });
    return opened;
  };

  const incarnations = new WorkerIncarnations({
    timers,
    logger,
    fencing,
    crashes,
    openExecutor,
    changed: () => {
      reports.announceToAll();
    },
  });

  const waitUntilIdle = async (until: Milliseconds): Promise<void> => {
    while (!incarnations.isIdle && timers.now() < until)
      await sleep(timers, stopPollMilliseconds);
  };

  const kill = (): void => {
    isStopping = true;
    reports.stop();
    evacuations.close();
    unreported.close();
    sessions.close();
    incarnations.kill();
  };

  return {
    stopLeftovers: unreported.stopLeftovers.bind(unreported),
    workerReported: report => incarnations.receive(report),
    workerLeft: incarnations.leave.bind(incarnations),
    changeSeeds: sessions.changeSeeds.bind(sessions),
    getExecutor: () => incarnations.executor,
    listSessions: () => sessions.listConnected(),
    stop: async graceMilliseconds => {
      isStopping = true;
      incarnations.beginStop();
      const { executor } = incarnations;
      executor?.drain();
      const stopAt = timers.now() + graceMilliseconds;
      await waitUntilIdle(stopAt);
      executor?.stopRuns(RunEndReason.Draining, {});
      await waitUntilIdle(timers.now() + stopConfirmationMilliseconds);
      // A run that is not known to have ended is not reported: its dispatcher waits until it must have ended.
      if (incarnations.isIdle) executor?.close();
      await sleep(timers, stopPollMilliseconds);
      kill();
    },
    kill,
  };
}
