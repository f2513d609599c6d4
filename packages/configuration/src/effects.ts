/** Effects of a configuration change. They are part of the plan's digest. */
import type {
  ClaimRetention,
  ControlHostConfiguration,
  DataCentreName,
  RackName,
  ReplicaId,
  ServiceConfiguration,
  ServiceName,
  TargetId,
  TeamConfiguration,
  TeamName,
  WorkerConfiguration,
} from '@cranberryturn/types';

/** Kinds of effect. */
export enum EffectKind {
  WorkerDeclared = 'worker-declared',
  WorkerChanged = 'worker-changed',
  WorkerStops = 'worker-stops',
  WorkerResumes = 'worker-resumes',
  RackDrained = 'rack-drained',
  RackUndrained = 'rack-undrained',
  DataCentreDrained = 'data-centre-drained',
  DataCentreUndrained = 'data-centre-undrained',
  ServiceSet = 'service-set',
  ServiceRemoved = 'service-removed',
  TeamSet = 'team-set',
  TeamRemoved = 'team-removed',
  ControlHostAdded = 'control-host-added',
  ControlHostRemoved = 'control-host-removed',
  CapacityChanged = 'capacity-changed',
  ClaimRetentionSet = 'claim-retention-set',
}

/** One effect of a change. */
export type Effect =
  | {
      readonly kind: EffectKind.WorkerDeclared;
      readonly worker: WorkerConfiguration;
    }
  | {
      readonly kind: EffectKind.WorkerChanged;
      readonly before: WorkerConfiguration;
      readonly after: WorkerConfiguration;
    }
  | {
      readonly kind: EffectKind.WorkerStops | EffectKind.WorkerResumes;
      readonly targetId: TargetId;
      readonly service: ServiceName;
    }
  | {
      readonly kind: EffectKind.RackDrained | EffectKind.RackUndrained;
      readonly rack: RackName;
    }
  | {
      readonly kind:
        EffectKind.DataCentreDrained | EffectKind.DataCentreUndrained;
      readonly dataCentre: DataCentreName;
    }
  | {
      readonly kind: EffectKind.ServiceSet;
      readonly before?: ServiceConfiguration | undefined;
      readonly after: ServiceConfiguration;
    }
  | {
      readonly kind: EffectKind.ServiceRemoved;
      readonly service: ServiceName;
    }
  | {
      readonly kind: EffectKind.TeamSet;
      readonly before?: TeamConfiguration | undefined;
      readonly after: TeamConfiguration;
    }
  | { readonly kind: EffectKind.TeamRemoved; readonly team: TeamName }
  | {
      readonly kind: EffectKind.ControlHostAdded;
      readonly controlHost: ControlHostConfiguration;
    }
  | {
      readonly kind: EffectKind.ControlHostRemoved;
      readonly replicaId: ReplicaId;
    }
  | {
      /** The number of declared workers of a service that receive work changes. */
      readonly kind: EffectKind.CapacityChanged;
      readonly service: ServiceName;
      readonly workersBefore: number;
      readonly workersAfter: number;
    }
  | {
      readonly kind: EffectKind.ClaimRetentionSet;
      readonly before?: ClaimRetention | undefined;
      readonly after: ClaimRetention;
    };
