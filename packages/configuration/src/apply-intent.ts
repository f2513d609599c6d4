/** Computes the configuration that an intent leads to. */
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
import { replaceByKey } from './replace-by-key.js';

type Applied = Result<ClusterConfiguration, InvalidInputError>;

/** Returns the next version, or an error that says why the intent cannot be carried out. */
export function applyIntent(
  configuration: ClusterConfiguration,
  intent: Intent,
): Applied {
  return changeConfiguration(configuration, intent).map(changed => ({
    ...changed,
    version: configuration.version + 1,
  }));
}

function changeConfiguration(
  configuration: ClusterConfiguration,
  intent: Intent,
): Applied {
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
      return changeRack(configuration, intent);
    case IntentKind.DrainDataCentre:
    case IntentKind.UndrainDataCentre:
      return changeDataCentre(configuration, intent);
    case IntentKind.SetService:
      return ok({
        ...configuration,
        services: replaceByKey(
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
        teams: replaceByKey(
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
): Applied {
  return ok({
    ...configuration,
    workers: replaceByKey(
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
): Applied {
  const { targetId, announced } = intent;
  const declared = configuration.workers.find(
    entry => entry.targetId === targetId,
  );
  if (declared?.state === state) {
    return refuse(`Worker ${targetId} is ${state} already.`);
  }
  if (declared !== undefined) {
    return setWorker(configuration, { ...declared, state });
  }
  if (announced === undefined) {
    return refuse(
      `Worker ${targetId} is neither declared nor announced; check its name with \`cranberryctl status\`.`,
    );
  }
  return setWorker(configuration, { targetId, ...announced, state });
}

function undrainWorker(
  configuration: ClusterConfiguration,
  intent: WorkerIntent,
): Applied {
  const declared = configuration.workers.find(
    entry => entry.targetId === intent.targetId,
  );
  if (declared?.state === WorkerState.Draining) {
    return setWorker(configuration, { ...declared, state: WorkerState.Active });
  }
  if (declared?.state === WorkerState.Removed) {
    return refuse(
      `Worker ${intent.targetId} was removed; declare it again with add-worker.`,
    );
  }
  return refuse(`Worker ${intent.targetId} is not drained.`);
}

function changeRack(
  configuration: ClusterConfiguration,
  { kind, rack }: RackIntent,
): Applied {
  return changeDrained(
    configuration.drainedRacks,
    rack,
    kind === IntentKind.DrainRack,
    `Rack ${rack}`,
  ).map(drainedRacks => ({ ...configuration, drainedRacks }));
}

function changeDataCentre(
  configuration: ClusterConfiguration,
  { kind, dataCentre }: DataCentreIntent,
): Applied {
  return changeDrained(
    configuration.drainedDataCentres,
    dataCentre,
    kind === IntentKind.DrainDataCentre,
    `Data centre ${dataCentre}`,
  ).map(drainedDataCentres => ({ ...configuration, drainedDataCentres }));
}

function changeDrained(
  drained: readonly string[],
  name: string,
  drain: boolean,
  subject: string,
): Result<readonly string[], InvalidInputError> {
  const known = drained.includes(name);
  if (drain && known) return refuse(`${subject} is drained already.`);
  if (!drain && !known) return refuse(`${subject} is not drained.`);
  if (drain) return ok([...drained, name]);
  return ok(drained.filter(entry => entry !== name));
}

function setLimit(
  configuration: ClusterConfiguration,
  intent: SetLimitIntent,
): Applied {
  const { service } = intent;
  const declared = configuration.services.find(
    entry => entry.service === service,
  );
  if (declared === undefined) {
    return refuse(`Service ${service} is not declared; use set-service first.`);
  }
  const limits = Object.entries(intent)
    .filter(([name, value]) => name !== 'kind' && value !== undefined)
    .map(([name, value]) => [
      name,
      (value as string | number | null) ?? undefined,
    ]);
  return ok({
    ...configuration,
    services: replaceByKey(
      configuration.services,
      { ...declared, ...Object.fromEntries(limits) },
      entry => entry.service,
    ),
  });
}

function removeService(
  configuration: ClusterConfiguration,
  { service }: RemoveServiceIntent,
): Applied {
  const services = configuration.services.filter(
    entry => entry.service !== service,
  );
  if (services.length === configuration.services.length) {
    return refuse(`Service ${service} is not declared.`);
  }
  return ok({ ...configuration, services });
}

function removeTeam(
  configuration: ClusterConfiguration,
  { team }: RemoveTeamIntent,
): Applied {
  const teams = configuration.teams.filter(entry => entry.team !== team);
  if (teams.length === configuration.teams.length) {
    return refuse(`Team ${team} is not declared.`);
  }
  return ok({ ...configuration, teams });
}

function refuse<Value>(sentence: string): Result<Value, InvalidInputError> {
  return err(
    new InvalidInputError(`${sentence} Nothing was changed.`, {
      step: 'apply intent',
    }),
  );
}
