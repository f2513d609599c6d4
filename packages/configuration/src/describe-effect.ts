/** Describes effects in sentences for the operator who reviews a plan. */
import {
  type ClaimRetention,
  type Milliseconds,
  type ServiceConfiguration,
  type TeamConfiguration,
  WorkerState,
} from '@cranberryturn/types';

import { type Effect, EffectKind } from './effects.js';

const millisecondsPerSecond = 1_000;

/** Returns one sentence that describes the effect. */
export function describeEffect(effect: Effect): string {
  switch (effect.kind) {
    case EffectKind.WorkerDeclared:
      return `Worker ${effect.worker.targetId} is declared for ${effect.worker.service} in rack ${effect.worker.rack}, data centre ${effect.worker.dataCentre}, as ${effect.worker.state}.`;
    case EffectKind.WorkerChanged:
      return `Worker ${effect.after.targetId} changes: ${compareFields(effect.before, effect.after)}.`;
    case EffectKind.WorkerStops:
      return `Worker ${effect.targetId} of ${effect.service} stops receiving work; its running tasks finish.`;
    case EffectKind.WorkerResumes:
      return `Worker ${effect.targetId} of ${effect.service} receives work again.`;
    case EffectKind.RackDrained:
      return `Rack ${effect.rack} is drained: its workers, also those announced later, receive no new work.`;
    case EffectKind.RackUndrained:
      return `Rack ${effect.rack} is no longer drained.`;
    case EffectKind.DataCentreDrained:
      return `Data centre ${effect.dataCentre} is drained: its workers, also those announced later, receive no new work.`;
    case EffectKind.DataCentreUndrained:
      return `Data centre ${effect.dataCentre} is no longer drained.`;
    case EffectKind.ServiceSet:
      return describeService(effect.before, effect.after);
    case EffectKind.ServiceRemoved:
      return `Service ${effect.service} loses its limits and its declaration.`;
    case EffectKind.TeamSet:
      return describeTeam(effect.before, effect.after);
    case EffectKind.TeamRemoved:
      return `Team ${effect.team} loses its quota and its weight.`;
    case EffectKind.ControlHostAdded:
      return `Replica ${effect.controlHost.replicaId} on ${effect.controlHost.host} joins control; it becomes a voter once it holds the whole log.`;
    case EffectKind.ControlHostRemoved:
      return `Replica ${effect.replicaId} leaves control.`;
    case EffectKind.CapacityChanged:
      return `Declared workers of ${effect.service} that receive work: ${String(effect.workersBefore)} before, ${String(effect.workersAfter)} after.`;
    case EffectKind.ClaimRetentionSet:
      return describeRetention(effect.after);
  }
}

/** Returns a phrase for the state of a worker that completes "Worker w1 ...". */
export function describeWorkerState(state: WorkerState): string {
  switch (state) {
    case WorkerState.Active:
      return 'receives work';
    case WorkerState.Draining:
      return 'finishes its work and receives no more';
    case WorkerState.Removed:
      return 'is removed and receives no work';
  }
}

function describeService(
  before: ServiceConfiguration | undefined,
  after: ServiceConfiguration,
): string {
  if (before === undefined) {
    return `Service ${after.service} is declared: ${listFields(after)}.`;
  }
  return `Service ${after.service} changes: ${compareFields(before, after)}.`;
}

function describeTeam(
  before: TeamConfiguration | undefined,
  after: TeamConfiguration,
): string {
  if (before === undefined) {
    return `Team ${after.team} is declared: ${listFields(after)}.`;
  }
  return `Team ${after.team} changes: ${compareFields(before, after)}.`;
}

function describeRetention({
  finishedMilliseconds,
  unfinishedMilliseconds,
  maximumClaims,
}: ClaimRetention): string {
  const answered = formatSeconds(finishedMilliseconds);
  const unanswered = formatSeconds(unfinishedMilliseconds);
  return `Claims are kept for ${answered} s after the answer and ${unanswered} s without one, at most ${String(maximumClaims)}: a job identifier sent again later than that starts again, and above that number new jobs are refused.`;
}

function formatSeconds(time: Milliseconds): string {
  return String(time / millisecondsPerSecond);
}

function listFields(entry: object): string {
  return Object.entries(entry)
    .filter(([name, value]) => isListedField(name) && value !== undefined)
    .map(([name, value]) => `${splitFieldName(name)} ${formatValue(value)}`)
    .join(', ');
}

function compareFields(before: object, after: object): string {
  const left = new Map<string, unknown>(Object.entries(before));
  const right = new Map<string, unknown>(Object.entries(after));
  const names = new Set([...left.keys(), ...right.keys()]);
  return [...names]
    .map(name => ({
      name,
      from: formatValue(left.get(name)),
      to: formatValue(right.get(name)),
    }))
    .filter(({ from, to }) => from !== to)
    .map(
      ({ name, from, to }) => `${splitFieldName(name)} from ${from} to ${to}`,
    )
    .join(', ');
}

function isListedField(name: string): boolean {
  return name !== 'service' && name !== 'team';
}

function splitFieldName(name: string): string {
  return name.replaceAll(/([A-Z])/g, ' $1').toLowerCase();
}

function formatValue(value: unknown): string {
  if (value === undefined) return 'none';
  return typeof value === 'string' ? value : JSON.stringify(value);
}
