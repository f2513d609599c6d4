/** Identifiers, names and scalar types. */

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
/** Name of a rack, as announced by targets and declared by operators. */
export type RackName = string;
/** Name of a data centre, as announced by targets and declared by operators. */
export type DataCentreName = string;
/** Name of a dispatcher process, stable over restarts. */
export type DispatcherId = string;
/** Name of a control replica. A replacement, or a replica without its data, gets a new name. */
export type ReplicaId = string;
/** Identifier of one run of a process; each restart gets a new one. */
export type Incarnation = string;
/** Ownership epoch of a job, counted from 1; raised each time a job is adopted. */
export type OwnershipEpoch = number;
/** Version of the configuration, counted from 0; each accepted change raises the version by one. */
export type ConfigurationVersion = number;
/** Index of an entry in the replicated log, counted from 1. */
export type LogIndex = number;
/** Term of the replicated log. */
export type Term = number;
/** A duration, or a point in time of the timer service that produced the value, in milliseconds. */
export type Milliseconds = number;
/** Hexadecimal digest of a job body. */
export type BodyDigest = string;
/** JSON text that is forwarded without being parsed. */
export type JsonText = string;
