/** Derives the settings of every process of a local system from those of `cranberry-local`. */
import {
  type ControlSettings,
  controlSettingsSchema,
  type DispatcherSettings,
  dispatcherSettingsSchema,
  type LocalSettings,
  type SidecarSettings,
  sidecarSettingsSchema,
} from '@cranberryturn/settings';
import type { NetworkAddress } from '@cranberryturn/types';

const controlSeedOffset = 1_000;
const sidecarSeedOffset = 2_000;
/** Short, because sidecars stop after the dispatchers, when every job has been answered. */
const sidecarGraceMilliseconds = 500;

/** Files and addresses that the processes of a local system share. */
export interface LocalLayout {
  readonly folder: string;
  readonly sharedKeyFile: string;
  readonly initialConfigurationFile: string;
  /** One address for each control replica. */
  readonly controlPeers: readonly NetworkAddress[];
}

/** One worker of a local system. */
export interface LocalWorker {
  readonly targetId: string;
  readonly service: string;
  readonly rack: string;
  readonly dataCentre: string;
}

/** Lists the workers of all racks, in the order of the settings. */
export function listWorkers(settings: LocalSettings): readonly LocalWorker[] {
  return settings.services.flatMap(({ service, racks }) =>
    racks.flatMap(({ rack, dataCentre, workers }) =>
      Array.from({ length: workers }, (_, index) => ({
        targetId: `${rack}-worker-${String(index + 1)}`,
        service,
        rack,
        dataCentre,
      })),
    ),
  );
}

/** Composes the settings of each control replica. Only the first has a fixed administration address. */
export function composeControlSettings(
  settings: LocalSettings,
  layout: LocalLayout,
): readonly ControlSettings[] {
  const members = composeMembers(layout);
  return members.map(({ replicaId, address, port }, index) =>
    controlSettingsSchema.parse({
      replicaId,
      host: replicaId,
      dataCentre: firstDataCentre(settings),
      region: settings.region,
      dataCentres: listDataCentres(settings),
      dataFolder: `${layout.folder}/${replicaId}`,
      peers: { listen: { address, port }, members },
      administration:
        index === 0
          ? settings.administration
          : { address: settings.address, port: 0 },
      operators: settings.operators,
      sharedKeyFile: layout.sharedKeyFile,
      initialConfigurationFile: layout.initialConfigurationFile,
      seed: settings.seed + controlSeedOffset + index,
      log: settings.log,
    }),
  );
}

/** Composes the settings of each dispatcher. The operating system chooses the ports for peers. */
export function composeDispatcherSettings(
  settings: LocalSettings,
  layout: LocalLayout,
): readonly DispatcherSettings[] {
  return settings.dispatchers.map((callers, index) =>
    dispatcherSettingsSchema.parse({
      dispatcherId: `dispatcher-${String(index + 1)}`,
      host: `dispatcher-${String(index + 1)}`,
      dataCentre: firstDataCentre(settings),
      region: settings.region,
      callers,
      peers: { address: settings.address, port: 0 },
      control: composeMembers(layout),
      sharedKeyFile: layout.sharedKeyFile,
      teams: settings.teams,
      limits: settings.limits,
      seed: settings.seed + index,
      log: settings.log,
    }),
  );
}

/** Composes the settings of the sidecar whose target listens at `url`. */
export function composeSidecarSettings(
  settings: LocalSettings,
  layout: LocalLayout,
  worker: LocalWorker,
  context: {
    readonly index: number;
    readonly url: string;
    readonly dispatchers: readonly NetworkAddress[];
  },
): SidecarSettings {
  const service = settings.services.find(
    entry => entry.service === worker.service,
  );
  return sidecarSettingsSchema.parse({
    ...worker,
    host: worker.targetId,
    region: settings.region,
    resources: service?.resources,
    slots: service?.slots,
    connections: service?.connections,
    target: { url: context.url },
    dispatchers: context.dispatchers,
    sharedKeyFile: layout.sharedKeyFile,
    operations: { address: settings.address, port: 0 },
    stop: { graceMilliseconds: sidecarGraceMilliseconds },
    seed: settings.seed + sidecarSeedOffset + context.index,
    log: settings.log,
  });
}

function composeMembers({ controlPeers }: LocalLayout) {
  return controlPeers.map((peer, index) => ({
    replicaId: `control-${String(index + 1)}`,
    ...peer,
  }));
}

function firstDataCentre(settings: LocalSettings): string {
  return settings.services[0]?.racks[0]?.dataCentre ?? settings.region;
}

function listDataCentres({ services }: LocalSettings): readonly string[] {
  const names = services.flatMap(({ racks }) =>
    racks.map(({ dataCentre }) => dataCentre),
  );
  return [...new Set(names)];
}
