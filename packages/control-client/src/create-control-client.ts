/** Creates the control client of a dispatcher. */
import type { ClaimError, ClaimStore } from '@cranberryturn/claims';
import type { ConfigurationFeed } from '@cranberryturn/configuration';
import { UnavailableError } from '@cranberryturn/errors';
import type {
  RegistrationError,
  RosterFeed,
  RosterStore,
} from '@cranberryturn/membership';
import type { RandomSource } from '@cranberryturn/random';
import type { TimerService } from '@cranberryturn/timers';
import type {
  ClaimOutcome,
  ConfigurationVersion,
  DispatcherIdentity,
  LogIndex,
  Milliseconds,
  NetworkAddress,
  ReplicaId,
  Roster,
  TargetId,
  TargetIdentity,
} from '@cranberryturn/types';
import {
  type Connection,
  type ControlCall,
  ControlMethod,
  type ControlNotice,
  ControlNoticeKind,
  ControlReplyKind,
  defaultPropagationTimes,
  type Network,
  type PropagationTimes,
  isControlNotice,
  requireShape,
  serveRemoteCalls,
} from '@cranberryturn/wire';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import { batchFinishedClaims } from './batch-finished-claims.js';
import {
  callLeader,
  type LeaderCallContext,
  type SettledReply,
} from './call-leader.js';
import { connectControlHosts } from './connect-control-hosts.js';
import {
  createLatestState,
  type EvacuationFeed,
  type PublicationFeed,
} from './latest-state.js';
import { createInForceReporter } from './report-in-force.js';
import { type ControlWatch, watchControl } from './watch-control.js';
import type { WatchEventHandler } from './watch-events.js';

const defaultCallTimeoutMilliseconds: Milliseconds = 5_000;
const reportIntervalMilliseconds: Milliseconds = 1_000;
/**
 * Age of the last proof of leadership at which this process counts as cut off; an election takes
 * far less.
 */
const cutOffProofAgeMilliseconds: Milliseconds = 4_000;
const cutOffCallTimeoutMilliseconds: Milliseconds = 300;

/** Dependencies and settings of the client. */
export interface ControlClientOptions {
  readonly network: Network;
  readonly timers: TimerService;
  readonly random: RandomSource;
  /** Identity of this run of the dispatcher. */
  readonly self: DispatcherIdentity;
  /** Seed hosts; further hosts are learned from control. */
  readonly controlHosts: readonly {
    readonly replicaId?: ReplicaId | undefined;
    readonly address: NetworkAddress;
  }[];
  /** Timeout in milliseconds of one call with all its attempts; 5 s by default. */
  readonly callTimeout?: Milliseconds | undefined;
  /** Lists the sidecars that have not confirmed a version of the configuration. */
  readonly listTargetsBehind?: (
    version: ConfigurationVersion,
  ) => readonly TargetId[];
  /** Lists the registered sidecar runs that were not heard for their lease. */
  readonly listSilentTargets?: (roster: Roster) => readonly TargetIdentity[];
  /** Derived from the bounds of the deployment; by default from the default bounds. */
  readonly propagation?: PropagationTimes | undefined;
  /** Called with each event of the watch of control. */
  readonly handleWatchEvent?: WatchEventHandler | undefined;
}

/** The services of control for one dispatcher. */
export interface ControlClient {
  readonly claims: ClaimStore;
  readonly registry: RosterStore;
  readonly configuration: ConfigurationFeed;
  readonly roster: RosterFeed;
  readonly publication: PublicationFeed;
  readonly evacuations: EvacuationFeed;
  /** True while the last proof of a leader with a majority is not older than the bounds allow control hosts to send updates with. */
  isFresh(): boolean;
  /** Age of the newest proof of control; undefined before the first one. */
  proofAge(): Milliseconds | undefined;
  /** Serves a connection from a control replica, which tells the hosts of the group. */
  acceptControl(connection: Connection): void;
  /** Replaces the seed hosts after a change of the settings. */
  changeSeeds(seeds: readonly NetworkAddress[]): void;
  /** Reports the finished claims that are still queued, then closes all connections. */
  stop(): Promise<void>;
}

/**
 * Creates the client and starts to connect, to watch one control host and to report to the leader.
 */
export function createControlClient(
  options: ControlClientOptions,
): ControlClient {
  const {
    timers,
    random,
    propagation: times = defaultPropagationTimes,
  } = options;
  const latest = createLatestState();
  let stopped = false;
  const isStopped = (): boolean => stopped;

  const hosts = connectControlHosts({
    ...options,
    times,
    seeds: options.controlHosts.map(host => host.address),
    configuration: latest.configuration,
    controlHosts: latest.controlHosts,
    handleOpen: () => {
      watch.handleOpen();
    },
    handleNotice: (host, notice) => {
      watch.handleNotice(host, notice);
      const { leader } = latest.roster.current();
      if (leader !== undefined) leaderCallContext.leader = leader;
    },
  });
  const leaderCallContext: LeaderCallContext = {
    timers,
    random,
    hosts: hosts.list,
    chooseTimeout: () => chooseCallTimeout(options, watch),
    isStopped,
    leader: undefined,
  };
  const watch = watchControl({
    timers,
    times,
    hosts: hosts.list,
    latest,
    firstHostPosition: random.below(Math.max(1, options.controlHosts.length)),
    handleEvent: options.handleWatchEvent,
  });

  const computeProofAge = (): Milliseconds | undefined => {
    const provedAt = watch.provedAt();
    return provedAt === undefined ? undefined : timers.now() - provedAt;
  };

  const report = createInForceReporter({
    ...options,
    latest,
    findLeader: () =>
      hosts
        .list()
        .flatMap(host => host.calls() ?? [])
        .find(calls => calls.connection.peer.name === leaderCallContext.leader),
  });
  const unsubscribe = latest.configuration.subscribe(report);
  const reportTimer = timers.every(reportIntervalMilliseconds, report);

  const call = (body: ControlCall) => callLeader(leaderCallContext, body);
  const finishedBatcher = batchFinishedClaims(timers, async batch => {
    const reply = await call({
      method: ControlMethod.FinishClaims,
      finished: batch,
    });
    return reply.isOk();
  });

  return {
    claims: createClaimStore(call, finishedBatcher.add),
    registry: createRosterStore(call),
    configuration: latest.configuration,
    roster: latest.roster,
    publication: latest.publication,
    evacuations: latest.evacuations,
    isFresh: () => {
      const age = computeProofAge();
      return age !== undefined && age <= times.maximumProofAgeMilliseconds;
    },
    proofAge: computeProofAge,
    acceptControl: connection => {
      serveRemoteCalls(connection, timers, {
        handleCall: async body => {
          const notice = requireShape<ControlNotice>(
            body,
            isControlNotice,
            connection.peer.name,
          );
          if (notice.kind === ControlNoticeKind.ControlHosts)
            latest.applyNotice(notice);
          return await Promise.resolve({});
        },
      });
    },
    changeSeeds: hosts.changeSeeds,
    stop: async () => {
      await finishedBatcher.flush();
      stopped = true;
      finishedBatcher.stop();
      reportTimer.cancel();
      watch.stop();
      unsubscribe();
      hosts.stop();
    },
  };
}

/**
 * Shortens the timeout while this process is cut off from control, so that callers get an error
 * quickly.
 */
function chooseCallTimeout(
  {
    callTimeout = defaultCallTimeoutMilliseconds,
    timers,
  }: ControlClientOptions,
  watch: ControlWatch,
): Milliseconds {
  const provedAt = watch.provedAt();
  if (provedAt === undefined) return callTimeout;
  const isCutOff = timers.now() - provedAt > cutOffProofAgeMilliseconds;
  return isCutOff
    ? Math.min(callTimeout, cutOffCallTimeoutMilliseconds)
    : callTimeout;
}

type CallControl = (
  body: ControlCall,
) => Promise<Result<SettledReply, ClaimError>>;

function createClaimStore(
  call: CallControl,
  addFinished: (finished: {
    team: string;
    jobId: string;
    epoch: number;
  }) => void,
): ClaimStore {
  const claim = (body: ControlCall) =>
    new ResultAsync(call(body)).andThen(readClaim);
  return {
    claimJob: request => claim({ method: ControlMethod.Claim, claim: request }),
    adoptJob: request => claim({ method: ControlMethod.Adopt, adopt: request }),
    finishClaim: (team, jobId, epoch) => {
      addFinished({ team, jobId, epoch });
    },
  };
}

function createRosterStore(call: CallControl): RosterStore {
  const register = (body: ControlCall) =>
    new ResultAsync(call(body)).andThen(readIndex);
  return {
    registerDispatcher: dispatcher =>
      register({ method: ControlMethod.RegisterDispatcher, dispatcher }),
    retireDispatcher: dispatcher =>
      register({ method: ControlMethod.RetireDispatcher, dispatcher }),
    registerTarget: target =>
      register({ method: ControlMethod.RegisterTarget, target }),
    retireTarget: target =>
      register({ method: ControlMethod.RetireTarget, target }),
  };
}

function readClaim(reply: SettledReply): Result<ClaimOutcome, ClaimError> {
  return reply.kind === ControlReplyKind.Claim
    ? ok(reply.outcome)
    : err(createWrongReplyError(reply));
}

function readIndex(reply: SettledReply): Result<LogIndex, RegistrationError> {
  return reply.kind === ControlReplyKind.Done
    ? ok(reply.index)
    : err(createWrongReplyError(reply));
}

function createWrongReplyError(reply: SettledReply): UnavailableError {
  return new UnavailableError(
    `Control answered with ${reply.kind}, which does not fit the call; run the same version on all hosts.`,
    { step: 'read reply' },
  );
}
