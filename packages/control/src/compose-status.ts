/** Composes the status of the system as the leader sees it. */
import {
  type DispatcherView,
  InForceState,
  receivesWork,
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

const silentAfter: Milliseconds = 3_000;

/** Where the status comes from. */
export interface StatusSources {
  readonly state: Pick<ControlState, 'claims' | 'roster' | 'configuration'>;
  readonly status: () => LogStatus;
  readonly inForce: InForceTable;
  readonly timers: TimerService;
  /** Time since a replica was heard; undefined when it cannot be reached. */
  readonly silenceOf: (replica: ReplicaId) => Milliseconds | undefined;
}

/** Composes the status. */
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
      viewDispatcher(sources, dispatcher),
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

function viewDispatcher(
  { inForce, state, timers }: StatusSources,
  { dispatcherId, incarnation }: DispatcherRecord,
): DispatcherView {
  const report = inForce.find(dispatcherId);
  if (report?.dispatcher.incarnation !== incarnation) {
    return { dispatcherId, state: InForceState.Silent, targetsBehind: [] };
  }
  const { configurationVersion, targetsBehind, receivedAt } = report;
  const reportAgeMilliseconds = Math.round(timers.now() - receivedAt);
  const isCurrent =
    configurationVersion >= state.configuration.configuration.version &&
    targetsBehind.length === 0;
  return {
    dispatcherId,
    state: chooseState(reportAgeMilliseconds, isCurrent),
    configurationVersion,
    reportAgeMilliseconds,
    targetsBehind,
  };
}

function chooseState(age: Milliseconds, isCurrent: boolean): InForceState {
  if (age > silentAfter) return InForceState.Silent;
  return isCurrent ? InForceState.InForce : InForceState.Behind;
}

function listWorkers({ state }: StatusSources): readonly WorkerView[] {
  const { configuration } = state.configuration;
  const declared = new Map<TargetId, WorkerConfiguration>(
    configuration.workers.map(worker => [worker.targetId, worker]),
  );
  const announced = state.roster.targets;
  const names = new Set([...declared.keys(), ...announced.keys()]);
  return [...names].sort().flatMap(targetId => {
    const worker = declared.get(targetId);
    const target = announced.get(targetId);
    const place = worker ?? target;
    if (place === undefined) return [];
    const { service, rack, dataCentre } = place;
    const placed = { state: WorkerState.Active, ...place };
    return [
      {
        targetId,
        service,
        rack,
        dataCentre,
        status: chooseWorkerStatus(
          placed.state,
          target,
          receivesWork(configuration, placed),
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
  receives: boolean,
): WorkerStatus {
  if (state === WorkerState.Removed) return WorkerStatus.Removed;
  if (target === undefined) return WorkerStatus.Absent;
  return receives ? WorkerStatus.Active : WorkerStatus.Draining;
}

function listReplicas(
  { state, silenceOf }: StatusSources,
  log: LogStatus,
): readonly ReplicaView[] {
  const { controlHosts } = state.configuration.configuration;
  const wanted = controlHosts.map(host => ({
    ...host,
    status: chooseReplicaStatus(
      log,
      log.members.find(member => member.replicaId === host.replicaId),
      silenceOf(host.replicaId),
    ),
  }));
  const named = new Set(controlHosts.map(host => host.replicaId));
  const leaving = log.members
    .filter(member => controlHosts.length > 0 && !named.has(member.replicaId))
    .map(member => viewLeaving(member));
  return [...wanted, ...leaving];
}

function chooseReplicaStatus(
  log: LogStatus,
  member: Member | undefined,
  silence: Milliseconds | undefined,
): ReplicaStatus {
  if (member === undefined) return ReplicaStatus.Joining;
  if (member.replicaId === log.leader) return ReplicaStatus.Leader;
  if ((silence ?? Infinity) > silentAfter) return ReplicaStatus.Silent;
  return member.role === MemberRole.Voter
    ? ReplicaStatus.Voter
    : ReplicaStatus.Learner;
}

function viewLeaving({ replicaId, address }: Member): ReplicaView {
  return {
    replicaId,
    host: replicaId,
    address: parseAddress(address) ?? { address, port: 0 },
    status: ReplicaStatus.Leaving,
  };
}
