/** Brings the parts of a dispatcher together. */
import type { CranberryError } from '@cranberryturn/errors';
import type { ResultRetention } from '@cranberryturn/jobs';
import type { Metrics } from '@cranberryturn/metrics';
import { type HttpListener, listenForHttp } from '@cranberryturn/program';
import {
  createScheduler,
  type Scheduler,
  type SchedulerOptions,
} from '@cranberryturn/scheduling';
import {
  defaultSessionTimes,
  type SessionTimes,
} from '@cranberryturn/sessions';
import { sleep, type TimerService } from '@cranberryturn/timers';
import type {
  DecisionSink,
  DispatcherIdentity,
  JobId,
  JobResult,
  Milliseconds,
  NetworkAddress,
} from '@cranberryturn/types';
import {
  type Connection,
  type DispatcherCall,
  DispatcherMethod,
  type DispatcherReply,
  DispatcherReplyKind,
  type Listener,
  type Network,
  ProcessRole,
} from '@cranberryturn/wire';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import { type CallerTeam, serveCallers } from './callers/serve-callers.js';
import { DispatcherLinks } from './dispatcher-links.js';
import { JobService } from './job-service.js';
import type { ControlPort } from './ports/control.js';
import { TargetDirectory } from './target-directory.js';

const stopPollMilliseconds: Milliseconds = 20;
const lookupTimeoutMilliseconds: Milliseconds = 1_000;
const registrationRetryMilliseconds: Milliseconds = 500;

/** Limits of the HTTP interface. */
export interface DispatcherLimits {
  readonly bodyBytes: number;
  readonly bodyTimeoutMilliseconds: Milliseconds;
  readonly callersConnections: number;
}

/** What a dispatcher is built from. */
export interface DispatcherOptions {
  readonly self: DispatcherIdentity;
  readonly callers: NetworkAddress;
  readonly peers: NetworkAddress;
  readonly teams: readonly CallerTeam[];
  readonly limits: DispatcherLimits;
  readonly retention: ResultRetention;
  readonly network: Network;
  readonly control: ControlPort;
  readonly timers: TimerService;
  readonly seed: number;
  readonly metrics: Metrics;
  readonly decisions: DecisionSink;
  readonly sessionTimes?: SessionTimes | undefined;
  /** Creates another scheduler than that of the product, to compare policies. */
  readonly createScheduler?:
    ((options: SchedulerOptions) => Scheduler) | undefined;
}

/** A running dispatcher. */
export interface Dispatcher {
  readonly callersAddress: NetworkAddress;
  readonly peersAddress: NetworkAddress;
  readonly scheduler: Scheduler;
  readonly jobs: JobService;
  readonly targets: TargetDirectory;
  /** Planned stop: fails `/readyz`, refuses new jobs, finishes those in flight. */
  stop(): Promise<void>;
  /** Ends everything at once, as a crash would. */
  kill(): void;
}

interface DispatcherParts {
  readonly options: DispatcherOptions;
  readonly targets: TargetDirectory;
  readonly links: DispatcherLinks;
  readonly jobs: JobService;
  readonly scheduler: Scheduler;
}

/** Starts a dispatcher. */
export function startDispatcher(
  options: DispatcherOptions,
): ResultAsync<Dispatcher, CranberryError> {
  return new ResultAsync(start(options));
}

async function start(
  options: DispatcherOptions,
): Promise<Result<Dispatcher, CranberryError>> {
  const parts = createParts(options);
  const peers = await options.network.listen(options.peers, connection => {
    serveConnection(parts, connection);
  });
  if (peers.isErr()) return err(peers.error);
  let isReady = true;
  const callers = await listenForHttp({
    app: serveCallers({
      jobs: parts.jobs,
      teams: options.teams,
      metrics: options.metrics,
      bodyBytes: options.limits.bodyBytes,
      configuration: () => options.control.configuration.current(),
      findElsewhere: (jobId, cancel) => findElsewhere(parts, jobId, cancel),
      isReady: () => isReady,
    }),
    address: options.callers,
    bodyTimeoutMilliseconds: options.limits.bodyTimeoutMilliseconds,
    connections: options.limits.callersConnections,
  });
  if (callers.isErr()) {
    await peers.value.close();
    return err(callers.error);
  }
  const unsubscribe = followConfiguration(parts);
  void registerSelf(parts, peers.value.address, () => isReady);
  return ok(
    describeDispatcher(parts, peers.value, callers.value, () => {
      isReady = false;
      unsubscribe();
    }),
  );
}

function createParts(options: DispatcherOptions): DispatcherParts {
  const { timers, network, control, metrics, decisions, self } = options;
  const targets = new TargetDirectory({
    timers,
    times: options.sessionTimes ?? defaultSessionTimes,
    control,
    metrics,
    attemptMeasured: (jobId, runMilliseconds) => {
      jobs.noteRun(jobId, runMilliseconds);
    },
  });
  const links: DispatcherLinks = new DispatcherLinks({
    network,
    timers,
    handleCall: call => answerDispatcher(jobs, call),
  });
  const jobs: JobService = new JobService({
    self,
    timers,
    control,
    links,
    targets,
    retention: options.retention,
    metrics,
    decisions,
  });
  const create = options.createScheduler ?? createScheduler;
  const scheduler = create({
    dispatcherId: self.dispatcherId,
    timers,
    seed: options.seed,
    sender: targets,
    observer: jobs,
    decisions,
  });
  targets.attachScheduler(scheduler);
  jobs.attachScheduler(scheduler);
  return { options, targets, links, jobs, scheduler };
}

function serveConnection(
  { targets, links }: DispatcherParts,
  connection: Connection,
): void {
  switch (connection.peer.role) {
    case ProcessRole.Sidecar:
      void targets.acceptor.acceptConnection(connection);
      return;
    case ProcessRole.Dispatcher:
      links.serve(connection);
      return;
    case ProcessRole.Control:
      connection.close();
      return;
  }
}

async function answerDispatcher(
  jobs: JobService,
  call: DispatcherCall,
): Promise<DispatcherReply> {
  const entry = jobs.find(call.jobId);
  if (entry === undefined) return { kind: DispatcherReplyKind.NotOwner };
  switch (call.method) {
    case DispatcherMethod.JoinJob:
      if (entry.digest !== call.digest) {
        return { kind: DispatcherReplyKind.NotOwner };
      }
      return { kind: DispatcherReplyKind.Result, result: await entry.finished };
    case DispatcherMethod.CancelJob:
      await jobs.cancelJob(call.jobId);
      return { kind: DispatcherReplyKind.Result, result: await entry.finished };
    case DispatcherMethod.FindJob:
      return entry.result === undefined
        ? { kind: DispatcherReplyKind.Running }
        : { kind: DispatcherReplyKind.Result, result: entry.result };
  }
}

async function findElsewhere(
  { options, links }: DispatcherParts,
  jobId: JobId,
  cancel: boolean,
): Promise<JobResult | undefined> {
  const others = options.control.roster
    .current()
    .dispatchers.filter(one => one.dispatcherId !== options.self.dispatcherId);
  const method = cancel ? DispatcherMethod.CancelJob : DispatcherMethod.FindJob;
  const replies = await Promise.all(
    others.map(one =>
      links.call(one.address, { method, jobId }, lookupTimeoutMilliseconds),
    ),
  );
  for (const reply of replies) {
    if (reply.isErr()) continue;
    if (reply.value.kind !== DispatcherReplyKind.Result) continue;
    return reply.value.result;
  }
  return undefined;
}

function followConfiguration({
  options,
  targets,
  scheduler,
}: DispatcherParts): () => void {
  const { configuration, roster } = options.control;
  const apply = (): void => {
    const dispatchers = Math.max(1, roster.current().dispatchers.length);
    scheduler.applyConfiguration(configuration.current(), dispatchers);
    targets.applyConfiguration(configuration.current());
  };
  apply();
  const stopConfiguration = configuration.subscribe(apply);
  const stopRoster = roster.subscribe(apply);
  return () => {
    stopConfiguration();
    stopRoster();
  };
}

async function registerSelf(
  { options }: DispatcherParts,
  address: NetworkAddress,
  isWanted: () => boolean,
): Promise<void> {
  const record = { ...options.self, address };
  while (isWanted()) {
    const done = await options.control.registry.registerDispatcher(record);
    if (done.isOk()) return;
    await sleep(options.timers, registrationRetryMilliseconds);
  }
}

function describeDispatcher(
  parts: DispatcherParts,
  peers: Listener,
  callers: HttpListener,
  leave: () => void,
): Dispatcher {
  const { options, jobs, targets, scheduler, links } = parts;
  const stop = async (): Promise<void> => {
    jobs.stopAdmission();
    leave();
    while (jobs.inFlight > 0) await sleep(options.timers, stopPollMilliseconds);
    await callers.close();
    await options.control.registry.retireDispatcher(options.self);
    scheduler.stop();
    targets.close();
    links.close();
    await peers.close();
  };
  const kill = (): void => {
    leave();
    callers.kill();
    scheduler.stop();
    targets.close();
    links.close();
    void peers.close();
  };
  return {
    callersAddress: callers.address,
    peersAddress: peers.address,
    scheduler,
    jobs,
    targets,
    stop,
    kill,
  };
}
