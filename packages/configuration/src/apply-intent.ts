/** Applies an intent of an operator to a configuration. */
import { InvalidInputError } from '@cranberryturn/errors';
import {
  type ClusterConfiguration,
  type DataCentreIntent,
  type Intent,
  IntentKind,
  type RackIntent,
  type RemoveServiceIntent,
  type RemoveTeamIntent,
  type SetLimitIntent,
  type WorkerConfiguration,
  type WorkerIntent,
  WorkerState,
} from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

import { applyControlHostIntent } from './apply-control-host-intent.js';
import { upsertByKey } from './upsert-by-key.js';

type ApplyResult = Result<ClusterConfiguration, InvalidInputError>;

/**
 * Returns the configuration with the next version, or an `InvalidInputError`
 * with the reason why the intent cannot be applied.
 */
export function applyIntent(
  configuration: ClusterConfiguration,
  intent: Intent,
): ApplyResult {
  return applyToConfiguration(configuration, intent).map(changed => ({
    ...changed,
    version: configuration.version + 1,
  }));
}

function applyToConfiguration(
  configuration: ClusterConfiguration,
  intent: Intent,
): ApplyResult {
  switch (intent.kind) {
    case IntentKind.AddWorker:
      return setWorker(configuration, {
        ...intent.worker,
        state: WorkerState.Active,
      });
    case IntentKind.RemoveWorker:
      return setWorkerState(configuration, intent, WorkerState.Removed);
    case IntentKind.DrainWorker:
      return setWorkerState(configuration, intent, WorkerState.Draining);
    case IntentKind.UndrainWorker:
      return undrainWorker(configuration, intent);
    case IntentKind.DrainRack:
    case IntentKind.UndrainRack:
      return updateDrainedRacks(configuration, intent);
    case IntentKind.DrainDataCentre:
    case IntentKind.UndrainDataCentre:
      return updateDrainedDataCentres(configuration, intent);
    case IntentKind.SetService:
      return ok({
        ...configuration,
        services: upsertByKey(
          configuration.services,
          intent.service,
          entry => entry.service,
        ),
      });
    case IntentKind.SetLimit:
      return setLimit(configuration, intent);
    case IntentKind.RemoveService:
      return removeService(configuration, intent);
    case IntentKind.SetQuota:
      return ok({
        ...configuration,
        teams: upsertByKey(
          configuration.teams,
          intent.team,
          entry => entry.team,
        ),
      });
    case IntentKind.RemoveTeam:
      return removeTeam(configuration, intent);
    case IntentKind.AddControlHost:
    case IntentKind.RemoveControlHost:
    case IntentKind.ReplaceControlHost:
      return applyControlHostIntent(configuration, intent);
    case IntentKind.SetClaimRetention:
      return ok({ ...configuration, claimRetention: intent.retention });
  }
}

function setWorker(
  configuration: ClusterConfiguration,
  worker: WorkerConfiguration,
): ApplyResult {
  return ok({
    ...configuration,
    workers: upsertByKey(
      configuration.workers,
      worker,
      entry => entry.targetId,
    ),
  });
}

function setWorkerState(
  configuration: ClusterConfiguration,
  intent: WorkerIntent,
  state: WorkerState,
): ApplyResult {
  const { targetId, announced } = intent;
  const declared = configuration.workers.find(
    entry => entry.targetId === targetId,
  );
  if (declared?.state === state) {
    return composeRefusal(`Worker ${targetId} is ${state} already.`);
  }
  if (declared !== undefined) {
    return setWorker(configuration, { ...declared, state });
  }
  if (announced === undefined) {
    return composeRefusal(
      `Worker ${targetId} is neither declared nor announced; check its name with \`cranberryctl status\`.`,
    );
  }
  return setWorker(configuration, { targetId, ...announced, state });
}

function undrainWorker(
  configuration: ClusterConfiguration,
  intent: WorkerIntent,
): ApplyResult {
  const declared = configuration.workers.find(
    entry => entry.targetId === intent.targetId,
  );
  if (declared?.state === WorkerState.Draining) {
    return setWorker(configuration, { ...declared, state: WorkerState.Active });
  }
  if (declared?.state === WorkerState.Removed) {
    return composeRefusal(
      `Worker ${intent.targetId} was removed; declare it again with add-worker.`,
    );
  }
  return composeRefusal(`Worker ${intent.targetId} is not drained.`);
}

function updateDrainedRacks(
  configuration: ClusterConfiguration,
  { kind, rack }: RackIntent,
): ApplyResult {
  return updateDrainedNames(
    configuration.drainedRacks,
    rack,
    kind === IntentKind.DrainRack,
    `Rack ${rack}`,
  ).map(drainedRacks => ({ ...configuration, drainedRacks }));
}

function updateDrainedDataCentres(
  configuration: ClusterConfiguration,
  { kind, dataCentre }: DataCentreIntent,
): ApplyResult {
  return updateDrainedNames(
    configuration.drainedDataCentres,
    dataCentre,
    kind === IntentKind.DrainDataCentre,
    `Data centre ${dataCentre}`,
  ).map(drainedDataCentres => ({ ...configuration, drainedDataCentres }));
}

function updateDrainedNames(
  drained: readonly string[],
  name: string,
  shouldDrain: boolean,
  subject: string,
): Result<readonly string[], InvalidInputError> {
  const isDrained = drained.includes(name);
  if (shouldDrain && isDrained)
    return composeRefusal(`${subject} is drained already.`);
  if (!shouldDrain && !isDrained)
    return composeRefusal(`${subject} is not drained.`);
  if (shouldDrain) return ok([...drained, name]);
  return ok(drained.filter(entry => entry !== name));
}

function setLimit(
  configuration: ClusterConfiguration,
  intent: SetLimitIntent,
): ApplyResult {
  const { service } = intent;
  const declared = configuration.services.find(
    entry => entry.service === service,
  );
  if (declared === undefined) {
    return composeRefusal(
      `Service ${service} is not declared; use set-service first.`,
    );
  }
  const limits = Object.entries(intent)
    .filter(([name, value]) => name !== 'kind' && value !== undefined)
    .map(([name, value]) => [
      name,
      (value as string | number | null) ?? undefined,
    ]);
  return ok({
    ...configuration,
    services: upsertByKey(
      configuration.services,
      { ...declared, ...Object.fromEntries(limits) },
      entry => entry.service,
    ),
  });
}

function removeService(
  configuration: ClusterConfiguration,
  { service }: RemoveServiceIntent,
): ApplyResult {
  const services = configuration.services.filter(
    entry => entry.service !== service,
  );
  if (services.length === configuration.services.length) {
    return composeRefusal(`Service ${service} is not declared.`);
  }
  return ok({ ...configuration, services });
}

function removeTeam(
  configuration: ClusterConfiguration,
  { team }: RemoveTeamIntent,
): ApplyResult {
  const teams = configuration.teams.filter(entry => entry.team !== team);
  if (teams.length === configuration.teams.length) {
    return composeRefusal(`Team ${team} is not declared.`);
  }
  return ok({ ...configuration, teams });
}

function composeRefusal<Value>(
  sentence: string,
): Result<Value, InvalidInputError> {
  return err(
    new InvalidInputError(`${sentence} Nothing was changed.`, {
      step: 'apply intent',
    }),
  );
}
