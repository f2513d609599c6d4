/** Composes the status that operators see, from the state of the leader. */
import {
  type DispatcherView,
  RolloutState,
  canReceiveWork,
  ReplicaStatus,
  type ReplicaView,
  type StatusView,
  WorkerStatus,
  type WorkerView,
} from '@cranberryturn/configuration';
import {
  type LogStatus,
  type Member,
  MemberRole,
} from '@cranberryturn/replicated-log';
import type { TimerService } from '@cranberryturn/timers';
import {
  type DispatcherRecord,
  type Milliseconds,
  type ReplicaId,
  type TargetId,
  type TargetRecord,
  type WorkerConfiguration,
  WorkerState,
} from '@cranberryturn/types';

import type { ControlState } from './control-state.js';
import type { InForceTable } from './in-force-table.js';
import { parseAddress } from './parse-address.js';

const silenceLimitMilliseconds: Milliseconds = 3_000;

/** Sources of the status. */
export interface StatusSources {
  readonly state: Pick<ControlState, 'claims' | 'roster' | 'configuration'>;
  readonly status: () => LogStatus;
  readonly inForce: InForceTable;
  readonly timers: TimerService;
  /** Time since a replica was last heard; undefined without a connection to it. */
  readonly findSilence: (replica: ReplicaId) => Milliseconds | undefined;
}

/** Composes the status. Called on the leader after it has confirmed its leadership. */
export function composeStatus(sources: StatusSources): StatusView {
  const { state } = sources;
  const { configuration } = state.configuration;
  const log = sources.status();
  return {
    configurationVersion: configuration.version,
    leader: log.leader ?? log.replicaId,
    term: log.term,
    commitIndex: log.commitIndex,
    replicas: listReplicas(sources, log),
    dispatchers: [...state.roster.dispatchers.values()].map(dispatcher =>
      composeDispatcherView(sources, dispatcher),
    ),
    workers: listWorkers(sources),
    services: configuration.services,
    teams: configuration.teams,
    claims: {
      unfinished: state.claims.unfinished.size,
      finished: state.claims.finished.size,
    },
  };
}

function composeDispatcherView(
  { inForce, state, timers }: StatusSources,
  { dispatcherId, incarnation }: DispatcherRecord,
): DispatcherView {
  const report = inForce.find(dispatcherId);
  if (report?.dispatcher.incarnation !== incarnation) {
    return { dispatcherId, state: RolloutState.Silent, targetsBehind: [] };
  }
  const { configurationVersion, targetsBehind, receivedAt } = report;
  const reportAgeMilliseconds = Math.round(timers.now() - receivedAt);
  const isCurrent =
    configurationVersion >= state.configuration.configuration.version &&
    targetsBehind.length === 0;
  return {
    dispatcherId,
    state: chooseInForceState(reportAgeMilliseconds, isCurrent),
    configurationVersion,
    reportAgeMilliseconds,
    targetsBehind,
  };
}

function chooseInForceState(
  age: Milliseconds,
  isCurrent: boolean,
): RolloutState {
  if (age > silenceLimitMilliseconds) return RolloutState.Silent;
  return isCurrent ? RolloutState.InForce : RolloutState.Behind;
}

function listWorkers({ state }: StatusSources): readonly WorkerView[] {
  const { configuration } = state.configuration;
  const declared = new Map<TargetId, WorkerConfiguration>(
    configuration.workers.map(worker => [worker.targetId, worker]),
  );
  const announced = state.roster.targets;
  const targetIds = new Set([...declared.keys(), ...announced.keys()]);
  return [...targetIds].sort().flatMap(targetId => {
    const worker = declared.get(targetId);
    const target = announced.get(targetId);
    const description = worker ?? target;
    if (description === undefined) return [];
    const { service, rack, dataCentre } = description;
    const withState = { state: WorkerState.Active, ...description };
    return [
      {
        targetId,
        service,
        rack,
        dataCentre,
        status: chooseWorkerStatus(
          withState.state,
          target,
          canReceiveWork(configuration, withState),
        ),
        slots: worker?.slots ?? target?.slots,
        declared: worker !== undefined,
      },
    ];
  });
}

function chooseWorkerStatus(
  state: WorkerState,
  target: TargetRecord | undefined,
  isReceivingWork: boolean,
): WorkerStatus {
  if (state === WorkerState.Removed) return WorkerStatus.Removed;
  if (target === undefined) return WorkerStatus.Absent;
  return isReceivingWork ? WorkerStatus.Active : WorkerStatus.Draining;
}

function listReplicas(
  { state, findSilence }: StatusSources,
  log: LogStatus,
): readonly ReplicaView[] {
  const { controlHosts } = state.configuration.configuration;
  const wanted = controlHosts.map(host => ({
    ...host,
    status: chooseReplicaStatus(
      log,
      log.members.find(member => member.replicaId === host.replicaId),
      findSilence(host.replicaId),
    ),
  }));
  const configuredIds = new Set(controlHosts.map(host => host.replicaId));
  const leaving = log.members
    .filter(
      member => controlHosts.length > 0 && !configuredIds.has(member.replicaId),
    )
    .map(member => composeLeavingReplica(member));
  return [...wanted, ...leaving];
}

function chooseReplicaStatus(
  log: LogStatus,
  member: Member | undefined,
  silence: Milliseconds | undefined,
): ReplicaStatus {
  if (member === undefined) return ReplicaStatus.Joining;
  if (member.replicaId === log.leader) return ReplicaStatus.Leader;
  if ((silence ?? Infinity) > silenceLimitMilliseconds)
    return ReplicaStatus.Silent;
  return member.role === MemberRole.Voter
    ? ReplicaStatus.Voter
    : ReplicaStatus.Learner;
}

function composeLeavingReplica({ replicaId, address }: Member): ReplicaView {
  return {
    replicaId,
    host: replicaId,
    address: parseAddress(address) ?? { address, port: 0 },
    status: ReplicaStatus.Leaving,
  };
}
