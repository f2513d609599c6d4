/** Renders the status and the history as text. */
import {
  type DispatcherView,
  type HistoryView,
  RolloutState,
  ReplicaStatus,
  type StatusView,
  WorkerStatus,
} from '@cranberryturn/configuration';
import { IntentKind } from '@cranberryturn/types';

import type { CommandSession } from './command-session.js';

type Colors = CommandSession['colors'];

/** Renders the status, one line for each replica, dispatcher and worker. */
export function renderStatus(view: StatusView, colors: Colors): string {
  const lines = [
    `${colors.bold('Configuration')} version ${String(view.configurationVersion)}, leader ${view.leader}, term ${String(view.term)}`,
    '',
    colors.bold('Control'),
    ...view.replicas.map(
      replica =>
        `  ${colorReplicaStatus(replica.status, colors)}  ${replica.replicaId} on ${replica.host}`,
    ),
    '',
    colors.bold('Dispatchers'),
    ...view.dispatchers.map(dispatcher => renderDispatcher(dispatcher, colors)),
    '',
    colors.bold('Workers'),
    ...view.workers.map(
      worker =>
        `  ${colorWorkerStatus(worker.status, colors)}  ${worker.targetId}, ${worker.service}, ${worker.dataCentre}/${worker.rack}${worker.slots === undefined ? '' : `, ${String(worker.slots)} slots`}${worker.declared ? '' : ', not declared'}`,
    ),
    '',
    `Claims: ${String(view.claims.unfinished)} unfinished, ${String(view.claims.finished)} finished and kept.`,
  ];
  return `${lines.join('\n')}\n`;
}

/** Renders the history, one line for each change, latest change first. */
export function renderHistory({ changes }: HistoryView): string {
  if (changes.length === 0) return 'No change has been confirmed yet.\n';
  const lines = changes.map(
    ({ version, at, operator, intent }) =>
      `${String(version).padStart(6)}  ${new Date(at).toISOString()}  ${operator}  ${renderIntent(intent)}`,
  );
  return `${lines.join('\n')}\n`;
}

function renderIntent(
  intent: HistoryView['changes'][number]['intent'],
): string {
  const { kind, ...fields } = intent;
  const details = Object.values(fields)
    .filter(value => value !== undefined)
    .map(value => (typeof value === 'string' ? value : JSON.stringify(value)));
  return [kind satisfies IntentKind, ...details].join(' ');
}

function renderDispatcher(dispatcher: DispatcherView, colors: Colors): string {
  const { dispatcherId, state, configurationVersion, targetsBehind } =
    dispatcher;
  const version = String(configurationVersion ?? 'unknown');
  const behind =
    targetsBehind.length === 0
      ? ''
      : `, sidecars behind: ${targetsBehind.join(' ')}`;
  return `  ${colorInForceState(state, colors)}  ${dispatcherId}, version ${version}${behind}`;
}

function colorInForceState(state: RolloutState, colors: Colors): string {
  switch (state) {
    case RolloutState.InForce:
      return colors.green(state.padEnd(8));
    case RolloutState.Behind:
      return colors.yellow(state.padEnd(8));
    case RolloutState.Silent:
      return colors.red(state.padEnd(8));
  }
}

function colorReplicaStatus(status: ReplicaStatus, colors: Colors): string {
  switch (status) {
    case ReplicaStatus.Leader:
    case ReplicaStatus.Voter:
      return colors.green(status.padEnd(8));
    case ReplicaStatus.Silent:
      return colors.red(status.padEnd(8));
    case ReplicaStatus.Learner:
    case ReplicaStatus.Joining:
    case ReplicaStatus.Leaving:
      return colors.yellow(status.padEnd(8));
  }
}

function colorWorkerStatus(status: WorkerStatus, colors: Colors): string {
  switch (status) {
    case WorkerStatus.Active:
      return colors.green(status.padEnd(8));
    case WorkerStatus.Draining:
    case WorkerStatus.Removed:
      return colors.yellow(status.padEnd(8));
    case WorkerStatus.Absent:
      return colors.red(status.padEnd(8));
  }
}
