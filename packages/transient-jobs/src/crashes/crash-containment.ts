/** Bounds what tasks that crash their workers cost others: decides where tasks may run, and which are given up. */
import type { Logger } from '@cranberryturn/logger';
import { Counter, type Metrics } from '@cranberryturn/metrics';
import type { TimerService } from '@cranberryturn/timers';
import type {
  Milliseconds,
  QueueConfiguration,
  QueueName,
  ServiceName,
  WorkerCrash,
} from '@cranberryturn/types';

import { type ActiveJob, type ActiveTask, TaskPhase } from '../active-job.js';
import {
  chooseConfinedHosts,
  ConfinedQueues,
  replayCrashes,
} from './confined-queues.js';
import { CrashLedger, listRepeatedTasks } from './crash-ledger.js';
import { decideTaskVerdict, TaskVerdict } from './decide-task-verdict.js';

/** Interval after which the confined queues are decided again without a new crash. */
const updateMilliseconds: Milliseconds = 100;
/** A crash reported with this age was reported to other dispatchers before. */
const earlierCrashMilliseconds: Milliseconds = 500;
/** Earlier crashes have no influence any more. */
const replayMilliseconds: Milliseconds = 20_000;

/** Dependencies of the containment. */
export interface CrashContainmentOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Names of the sidecars whose workers serve the service, or did until they crashed. */
  readonly listHosts: (service: ServiceName) => readonly string[];
}

/** Where tasks may be placed, by the names of the sidecars. */
export interface HostRestriction {
  /** The only hosts to use; undefined for all. */
  readonly confinedTo: ReadonlySet<string> | undefined;
  /** Hosts of confined queues, to which other queues prefer the rest. */
  readonly avoided: ReadonlySet<string>;
  /** Hosts that have crashed under the tasks; used only when no other is left. */
  readonly excluded: ReadonlySet<string>;
}

const noHosts: ReadonlySet<string> = new Set();
/** Leaves all hosts to a task. */
export const noRestriction: HostRestriction = {
  confinedTo: undefined,
  avoided: noHosts,
  excluded: noHosts,
};

type ServiceQueue = Pick<QueueConfiguration, 'queue' | 'service'>;

interface ServiceState {
  queues: ConfinedQueues;
  /** Whether crashes have been reported that happened before the latest decision. */
  isOutdated: boolean;
  /** Hosts of each confined queue. */
  hosts: ReadonlyMap<QueueName, ReadonlySet<string>>;
  avoided: ReadonlySet<string>;
  updatedAt: Milliseconds;
}

/** The containment of crashes at one dispatcher. */
export class CrashContainment {
  readonly #options: CrashContainmentOptions;
  readonly #ledger = new CrashLedger();
  /** The services whose workers have crashed. */
  readonly #services = new Map<ServiceName, ServiceState>();

  constructor(options: CrashContainmentOptions) {
    this.#options = options;
  }

  /** Records a crash. False for a repeated report. */
  record(sidecar: string, crash: WorkerCrash): boolean {
    const { timers, logger, metrics } = this.#options;
    const now = timers.now();
    const recorded = this.#ledger.record(sidecar, crash, now);
    if (recorded === undefined) return false;
    metrics.count(Counter.WorkerCrashes);
    logger.warn('worker crash reported', {
      sidecar,
      worker: crash.workerId,
      ageMilliseconds: crash.ageMilliseconds,
      runs: crash.runs.length,
      presence: crash.presence,
      repeatedTasks: listRepeatedTasks(this.#ledger, crash),
    });
    const state = this.#services.get(crash.service) ?? {
      queues: new ConfinedQueues(),
      isOutdated: false,
      hosts: new Map(),
      avoided: noHosts,
      updatedAt: now,
    };
    this.#services.set(crash.service, state);
    // After a restart the sidecars report earlier crashes one after another, and a part of them misleads.
    if (crash.ageMilliseconds >= earlierCrashMilliseconds)
      state.isOutdated = true;
    else this.#update(crash.service, state, now);
    return true;
  }

  /** Decides on a task by the crashes under it. */
  judgeTask({ job, taskId }: ActiveTask): TaskVerdict {
    if (this.#services.size === 0) return TaskVerdict.Sound;
    const { jobId, queue } = job.job;
    const crashes = this.#ledger.listCrashesOf(jobId, taskId);
    return decideTaskVerdict(crashes, this.#isConfined(queue));
  }

  /** Why a job is given up; undefined while all of its unfinished tasks may run. */
  findGiveUpReason({ tasks }: ActiveJob): string | undefined {
    if (this.#services.size === 0) return undefined;
    const task = tasks.find(
      one =>
        one.phase !== TaskPhase.Done &&
        this.judgeTask(one) === TaskVerdict.GivenUp,
    );
    return task && `workers crashed under task ${task.taskId}`;
  }

  /** Where the tasks of one job may be placed. */
  restrictHosts(
    { job }: ActiveJob,
    tasks: readonly ActiveTask[],
  ): HostRestriction {
    const state = this.#findState(job.queue.service);
    if (state === undefined) return noRestriction;
    const { queue } = job.queue;
    const isIsolated = tasks.some(
      task => this.judgeTask(task) === TaskVerdict.Isolated,
    );
    const confinedTo =
      state.hosts.get(queue) ??
      (isIsolated ? this.#chooseHosts(job.queue) : undefined);
    return {
      confinedTo,
      avoided: confinedTo === undefined ? state.avoided : noHosts,
      excluded: new Set(
        tasks.flatMap(({ taskId }) =>
          this.#ledger.listCrashesOf(job.jobId, taskId).map(one => one.host),
        ),
      ),
    };
  }

  /** Number of hosts that a queue is confined to; undefined when it is not confined. */
  countConfinedHosts({ queue, service }: ServiceQueue): number | undefined {
    return this.#findState(service)?.hosts.get(queue)?.size;
  }

  #isConfined(queue: ServiceQueue): boolean {
    return this.countConfinedHosts(queue) !== undefined;
  }

  #chooseHosts({ queue, service }: ServiceQueue): ReadonlySet<string> {
    return chooseConfinedHosts(queue, this.#options.listHosts(service));
  }

  #findState(service: ServiceName): ServiceState | undefined {
    const state = this.#services.get(service);
    const now = this.#options.timers.now();
    if (state !== undefined && now - state.updatedAt >= updateMilliseconds)
      this.#update(service, state, now);
    return state;
  }

  #update(service: ServiceName, state: ServiceState, now: Milliseconds): void {
    const { logger, metrics } = this.#options;
    state.updatedAt = now;
    const hosts = this.#options.listHosts(service);
    const crashes = this.#ledger.list(service, now);
    if (state.isOutdated) {
      state.isOutdated = false;
      state.queues = replayCrashes(
        crashes.filter(({ at }) => now - at < replayMilliseconds),
        hosts,
      );
      logger.info('queues judged again with crashes reported late', {
        service,
        crashes: crashes.length,
        confined: state.queues.list(),
      });
    }
    const changes = state.queues.update(crashes, hosts, now);
    state.hosts = new Map(
      state.queues
        .list()
        .map(queue => [queue, chooseConfinedHosts(queue, hosts)]),
    );
    state.avoided = new Set([...state.hosts.values()].flatMap(one => [...one]));
    for (const change of changes) {
      if (change.isConfined) {
        const { queue } = change.blamed;
        metrics.count(Counter.QueuesConfined);
        logger.warn('queue confined after crashes of workers', {
          service,
          ...change.blamed,
          hosts: [...(state.hosts.get(queue) ?? [])],
        });
      } else {
        const { queue, isCleared } = change;
        logger.info('queue no longer confined', { service, queue, isCleared });
      }
    }
  }
}
