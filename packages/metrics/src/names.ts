/** Names of all metrics, as exposed at `/metrics` after the prefix `cranberry_`. */

/** Quantities whose distribution is recorded. */
export enum Distribution {
  /** Response time of a job divided by the shortest possible one. */
  ResponseOverIdeal = 'response_over_ideal',
  /** Time from the arrival of a job to its reply. */
  ResponseMilliseconds = 'response_milliseconds',
  /** Time from the admission of a job to the first placement of each of its tasks. */
  QueueMilliseconds = 'queue_milliseconds',
  /** Time that a target took to run a task. */
  RunMilliseconds = 'run_milliseconds',
  /** Time from sending a claim to its outcome. */
  ClaimMilliseconds = 'claim_milliseconds',
  /** Time of a write to disk, with its sync. */
  SyncMilliseconds = 'sync_milliseconds',
  /** Time from the arrival of a request for capacity at its coordinator to a grant. */
  CapacityWaitMilliseconds = 'capacity_wait_milliseconds',
}

/** Events that are counted since the start of the process. */
export enum Counter {
  JobsAdmitted = 'jobs_admitted',
  JobsRefused = 'jobs_refused',
  JobsJoined = 'jobs_joined',
  JobsCompleted = 'jobs_completed',
  JobsFailed = 'jobs_failed',
  JobsCancelled = 'jobs_cancelled',
  JobsAdopted = 'jobs_adopted',
  TasksPlaced = 'tasks_placed',
  TasksStarted = 'tasks_started',
  TasksAnswered = 'tasks_answered',
  TasksFailed = 'tasks_failed',
  TasksNotStarted = 'tasks_not_started',
  TargetsEjected = 'targets_ejected',
  SessionsOpened = 'sessions_opened',
  /** Sessions whose connection ended or missed its heartbeats. */
  SessionsSuspected = 'sessions_suspected',
  SessionsResumed = 'sessions_resumed',
  PeersRefused = 'peers_refused',
  TokensRefused = 'tokens_refused',
  ElectionsStarted = 'elections_started',
  ConfigurationChanges = 'configuration_changes',
  /** Runs that a sidecar returned because of an evacuation; counted at the sidecar and at the dispatcher. */
  RunsReturnedEvacuated = 'runs_returned_evacuated',
  /** Crashes of workers; counted at the sidecar and at each dispatcher that it reports to. */
  WorkerCrashes = 'worker_crashes',
  /** Runs that were active at a worker when it crashed; counted at the sidecar. */
  RunsLostInCrashes = 'runs_lost_in_crashes',
  /** Queues that a dispatcher confined to a part of the hosts, as their tasks crash workers. */
  QueuesConfined = 'queues_confined',
  /** Runs that were ordered not to share their worker with other jobs, after crashes. */
  RunsIsolated = 'runs_isolated',
  /** Grants of capacity by a coordinator. */
  CapacityGrants = 'capacity_grants',
  /** Grants whose order did not reach its worker in time. */
  CapacityGrantsExpired = 'capacity_grants_expired',
  /** Requests for capacity that their coordinator did not answer in time; their tasks were placed by load reports. */
  CapacityRequestsUnanswered = 'capacity_requests_unanswered',
  /** Requests refused, and connections closed, at the limits on what callers can make a process hold. */
  CallersRefused = 'callers_refused',
}

/** Kinds of messages that did no useful work. */
export enum WastedMessage {
  /** A start that the sidecar refused. */
  RefusedStart = 'refused_start',
  /** An answer that is no longer needed: its task was cancelled, or another attempt answered first. */
  LateAnswer = 'late_answer',
  /** A frame sent again after a connection was replaced. */
  Retransmission = 'retransmission',
  /** A message that carried only a heartbeat. */
  Heartbeat = 'heartbeat',
  /** A further attempt of a task. */
  RetryAttempt = 'retry_attempt',
  /** A cancellation of an attempt that had already ended. */
  LateCancellation = 'late_cancellation',
}

/** Current values, read whenever the metrics are read. */
export enum Gauge {
  Slots = 'slots',
  SlotsInUse = 'slots_in_use',
  Sessions = 'sessions',
  TasksQueued = 'tasks_queued',
  TasksRunning = 'tasks_running',
  JobsOpen = 'jobs_open',
  TargetsKnown = 'targets_known',
  TargetsEjectedNow = 'targets_ejected_now',
  AnswersHeldBytes = 'answers_held_bytes',
  /** Memory held for callers: arriving bodies, requests in progress, responses that are not read yet, kept answers. */
  HeldBytes = 'held_bytes',
  ConfigurationVersion = 'configuration_version',
  LogIndex = 'log_index',
  /** 1 while this replica is the leader, otherwise 0. */
  Leading = 'leading',
  /** 1 while this replica is stopped by an error that does not pass, otherwise 0. */
  ReplicaFailed = 'replica_failed',
  /** Failed attempts of this replica to open its log again after a fault of its disk; 0 unless it tries. */
  ReplicaRecoveryAttempts = 'replica_recovery_attempts',
  /** Connected sidecars whose reports do not name the current version of the evacuation state. */
  SidecarsUnconfirmed = 'sidecars_unconfirmed',
  /** Number of data centres that a control replica knows to be evacuated. */
  EvacuatedDataCentres = 'evacuated_data_centres',
}
