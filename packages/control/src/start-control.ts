/** Starts a control replica and connects its parts. */
import { defaultClaimRetention } from '@cranberryturn/claims';
import type { CranberryError } from '@cranberryturn/errors';
import { defaultRosterRetention } from '@cranberryturn/membership';
import {
  type LogEvent,
  LogEventKind,
  type ReplicatedLog,
  ReplicaRole,
} from '@cranberryturn/replicated-log';
import { emptyConfiguration, type NetworkAddress } from '@cranberryturn/types';
import {
  type Connection,
  defaultPropagationTimes,
  type Listener,
  type Network,
  ProcessRole,
} from '@cranberryturn/wire';
import { err, ok, type Result, ResultAsync } from 'neverthrow';

import { administerControl } from './administer-control.js';
import type { AdministrationCall } from './administration-calls.js';
import { createWirePeerLink, servePeer } from './adapters/wire-peer-link.js';
import { createOperationProposer } from './batch-operations.js';
import type {
  ControlNode,
  ControlOptions,
  StartControlError,
} from './control-node.js';
import { OperationKind } from './control-operations.js';
import { createControlState, type EntryOutcome } from './control-state.js';
import { expireSilentRuns } from './expire-silent-runs.js';
import { createFollowerFeed } from './feed-followers.js';
import { formGroup, type GroupFormation, listRoles } from './form-group.js';
import { findReplicaAddress } from './find-replica-address.js';
import { forwardToLeader } from './forward-to-leader.js';
import { createInForceTable } from './in-force-table.js';
import { inviteDispatchers } from './invite-dispatchers.js';
import type { JoiningReplica, JoinReply } from './peer-protocol.js';
import { reconcileMembers } from './reconcile-members.js';
import { logEvacuations } from './log-evacuations.js';
import { logFounding } from './log-founding.js';
import { logRoleChange } from './log-role-change.js';
import { createEvacuationService } from './order-evacuations.js';
import { recordClaim } from './record-claim.js';
import { serveDispatcher } from './serve-dispatcher.js';

/**
 * Opens the log of a replica, then serves the other replicas and the dispatchers. Fails when the
 * log cannot be opened or the listener cannot be bound.
 */
export function startControl(
  options: ControlOptions,
): ResultAsync<ControlNode, StartControlError> {
  return new ResultAsync(startNode(options));
}

async function startNode(
  options: ControlOptions,
): Promise<Result<ControlNode, StartControlError>> {
  const {
    timers,
    logger,
    propagation: times = defaultPropagationTimes,
  } = options;
  const state = createControlState({
    claims: options.retention?.claims ?? defaultClaimRetention,
    roster: options.retention?.roster ?? defaultRosterRetention,
  });
  const running: {
    log?: ReplicatedLog<EntryOutcome>;
    network?: Network;
    formation?: GroupFormation;
  } = {};
  const link = createWirePeerLink({
    network: () => running.network,
    timers,
    times,
    self: () => running.log?.status().replicaId ?? '',
    findAddress: replica =>
      findReplicaAddress(options, running.log?.status(), replica),
    handleReplaced: replica => running.formation?.handleReplacedMember(replica),
  });
  const openedLog = await options.openLog(state, link);
  if (openedLog.isErr()) return err(openedLog.error);
  const log = openedLog.value;
  const network = options.joinNetwork(log.status().replicaId);
  running.log = log;
  running.network = network;

  const proposer = createOperationProposer(log);
  const status = log.status.bind(log);
  const feed = createFollowerFeed({
    timers,
    state,
    status,
    maximumProofAge: times.maximumProofAgeMilliseconds,
  });
  const inForce = createInForceTable(timers);
  const administerLocally = (call: AdministrationCall) =>
    administerControl(
      {
        state,
        log,
        status,
        inForce,
        timers,
        proposer,
        findSilence: link.findSilence,
      },
      call,
    );
  const administer = (call: AdministrationCall) =>
    forwardToLeader(
      {
        status,
        administerLocally,
        administerAt: link.administer,
      },
      call,
    );
  const parts = {
    evacuations: createEvacuationService({
      ...options,
      replicaId: status().replicaId,
      appliedIndex: feed.appliedIndex,
      state,
      administer,
    }),
    state,
    log,
    proposer,
    feed,
    administerLocally,
    administer,
    inForce,
    changeSeeds: (seeds: readonly NetworkAddress[]) =>
      running.formation?.changeSeeds(seeds),
  };
  const subscription = log.subscribe(event => {
    handleLogEvent(options, parts, event);
  });
  proposeInitialConfiguration(options, parts);
  const formation =
    options.group === undefined
      ? undefined
      : formGroup({
          group: options.group,
          timers,
          logger,
          log,
          network,
          findSilence: link.findSilence,
        });
  if (formation !== undefined) running.formation = formation;
  const invitations =
    options.group === undefined
      ? []
      : [inviteDispatchers({ ...parts, timers, logger, network, status })];
  const node = {
    ...parts,
    handleAnnouncement: (leader: NetworkAddress) =>
      formation?.handleAnnouncement(leader),
    handleJoinRequest: (candidate: JoiningReplica): JoinReply =>
      formation?.handleJoinRequest(candidate) ?? { leader: undefined },
  };
  const tasks = [
    formation ?? reconcileMembers({ timers, logger, log, state }),
    expireSilentRuns({ timers, logger, state, status, inForce, proposer }),
    ...invitations,
  ];
  const cancelTasks = (): void => {
    for (const task of tasks) task.cancel();
  };
  const listenResult = await network.listen(options.listen, connection => {
    void serveConnection(options, node, connection);
  });
  if (listenResult.isErr()) {
    feed.stop();
    cancelTasks();
    await log.stop();
    return err(listenResult.error);
  }
  const listener = listenResult.value;
  logger.info('control replica started', {
    replicaId: status().replicaId,
    address: listener.address,
    members: listRoles(status().members),
  });
  const stop = async (): Promise<void> => {
    subscription.cancel();
    cancelTasks();
    await stopReplica(options, node, listener);
    link.close();
  };
  return ok({ ...node, address: listener.address, stop });
}

type ReplicaParts = Omit<ControlNode, 'address' | 'stop'>;

interface ServingReplica extends ReplicaParts {
  readonly handleJoinRequest: (candidate: JoiningReplica) => JoinReply;
  readonly handleAnnouncement: (leader: NetworkAddress) => void;
}

async function serveConnection(
  options: ControlOptions,
  node: ServingReplica,
  connection: Connection,
): Promise<void> {
  const { timers, decisions } = options;
  const { log, proposer, feed, inForce } = node;
  if (connection.peer.role === ProcessRole.Control) {
    await servePeer(connection, timers, {
      handleMessage: (from, message) => log.handlePeerMessage(from, message),
      administer: node.administerLocally,
      handleJoinRequest: node.handleJoinRequest,
      handleAnnouncement: node.handleAnnouncement,
    });
    return;
  }
  await serveDispatcher(connection, {
    timers,
    proposer,
    feed,
    observeOutcome: (call, reply) => {
      recordClaim(decisions, call, reply);
    },
    receiveReport: report => {
      inForce.record(report);
    },
  });
}

function handleLogEvent(
  options: ControlOptions,
  node: ReplicaParts,
  event: LogEvent<EntryOutcome>,
): void {
  switch (event.kind) {
    case LogEventKind.Applied:
      logEvacuations(options, event);
      node.feed.scheduleUpdate();
      return;
    case LogEventKind.Restored:
      node.feed.scheduleUpdate();
      return;
    case LogEventKind.FoundingChanged:
      logFounding(options.logger, event.founding);
      return;
    case LogEventKind.RoleChanged:
      logRoleChange(options.logger, event.status);
      node.feed.scheduleUpdate();
      proposeInitialConfiguration(options, node);
      return;
  }
}

/**
 * Proposes the initial configuration while this replica leads and none is set. A state machine that
 * has one ignores the proposal.
 */
function proposeInitialConfiguration(
  options: ControlOptions,
  node: ReplicaParts,
): void {
  const { initialConfiguration } = options;
  if (node.log.status().role !== ReplicaRole.Leader) return;
  if (
    node.state.configuration.configuration.version > emptyConfiguration.version
  )
    return;
  if (initialConfiguration === undefined) return;
  void node.proposer
    .submit({
      kind: OperationKind.Initialize,
      configuration: initialConfiguration,
    })
    .orTee((error: CranberryError) => {
      options.logger.warn('initial configuration not proposed', { error });
    });
}

async function stopReplica(
  { logger }: ControlOptions,
  { log, feed }: ReplicaParts,
  listener: Listener,
): Promise<void> {
  if (log.status().role === ReplicaRole.Leader) {
    const transferred = await log.transferLeadership();
    if (transferred.isErr()) {
      logger.warn(
        'leadership not transferred; the other replicas elect a leader',
        { error: transferred.error },
      );
    }
  }
  feed.stop();
  await listener.close();
  await log.stop();
  const { failure } = log.status();
  if (failure !== undefined) {
    logger.error('control replica stopped with a failed log', {
      error: failure,
    });
  }
}
