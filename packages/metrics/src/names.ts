/** Names of everything that is measured. */

/** Quantities whose distribution is measured. */
export enum Distribution {
  /** Response time divided by the fastest possible one. */
  ResponseOverIdeal = 'response_over_ideal',
  /** From the arrival of a job to its reply. */
  ResponseMilliseconds = 'response_milliseconds',
  /** From admission of a task to its placement. */
  QueueMilliseconds = 'queue_milliseconds',
  /** Time a target took for a task. */
  RunMilliseconds = 'run_milliseconds',
  /** Time a claim took. */
  ClaimMilliseconds = 'claim_milliseconds',
  /** Time a synced write took. */
  SyncMilliseconds = 'sync_milliseconds',
}

/** Events that are counted. */
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
  /** Sessions whose connection fell silent or ended. */
  SessionsSuspected = 'sessions_suspected',
  SessionsResumed = 'sessions_resumed',
  PeersRefused = 'peers_refused',
  TokensRefused = 'tokens_refused',
  ElectionsStarted = 'elections_started',
  ConfigurationChanges = 'configuration_changes',
}

/** Kinds of messages that did no useful work. */
export enum WastedMessage {
  /** A start that the sidecar refused. */
  RefusedStart = 'refused_start',
  /** An answer that nobody waits for any more: after a cancellation, or of the slower of two attempts. */
  LateAnswer = 'late_answer',
  /** A frame sent again after a connection was replaced. */
  Retransmission = 'retransmission',
  /** A heartbeat that carried nothing else. */
  Heartbeat = 'heartbeat',
  /** A further attempt of a task. */
  RetryAttempt = 'retry_attempt',
  /** A cancellation of an attempt that had already ended. */
  LateCancellation = 'late_cancellation',
}

/** Values that go up and down. */
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
  /** Size of the bodies in flight and of all answers that a dispatcher keeps. */
  HeldBytes = 'held_bytes',
  ConfigurationVersion = 'configuration_version',
  LogIndex = 'log_index',
  /** 1 while this replica leads. */
  Leading = 'leading',
}
