/** Identifier of a job, chosen by the caller and unique within a team. */
export type JobId = string;
/** Identifier of a task, chosen by the caller and unique within a job. */
export type TaskId = string;
/** Name of a service that answers tasks. */
export type ServiceName = string;
/** Name of a team; quotas and tokens belong to teams. */
export type TeamName = string;
/** Name of a host in the settings. */
export type HostName = string;
/** Name of a target, which is one instance of a service on one worker. */
export type TargetId = string;
/** Name of a rack. */
export type RackName = string;
/** Name of a data centre. */
export type DataCentreName = string;
/** Name of a dispatcher process, stable over restarts. */
export type DispatcherId = string;
/** Name of a control replica; a replaced or blank replica gets a new one. */
export type ReplicaId = string;
/** Identifies one run of a process; a restart gets a new incarnation. */
export type Incarnation = string;
/** Ownership epoch of a job: raised each time another dispatcher adopts it. Starts at 1. */
export type OwnershipEpoch = number;
/** Version of the configuration: raised by one with each accepted change. Starts at 0. */
export type ConfigurationVersion = number;
/** Index of an entry in the replicated log. The first entry has index 1. */
export type LogIndex = number;
/** Term of the replicated log. */
export type Term = number;
/** A moment in milliseconds of the timer service that produced it. */
export type Milliseconds = number;
/** Hexadecimal digest of a job body. */
export type BodyDigest = string;
/** JSON text that is passed on without being parsed. */
export type JsonText = string;
