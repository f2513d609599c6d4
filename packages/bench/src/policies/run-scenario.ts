/** Runs one scenario with one policy on a manual clock. */
import { createRandomSource, type RandomSource } from '@cranberryturn/random';
import type {
  AttemptStart,
  JobRequest,
  Milliseconds,
  TargetIdentity,
  TargetRecord,
} from '@cranberryturn/types';
import { AttemptOutcome } from '@cranberryturn/types';

import { createEventClock, type EventClock } from './event-clock.js';
import { FakeTarget, type TargetReport } from './fake-target.js';
import type { PolicyDispatcher, PolicyFactory } from './policy-dispatcher.js';
import type { Scenario } from './scenarios.js';
import { ScenarioTally, type ScenarioResult } from './scenario-tally.js';

const deadlineMilliseconds: Milliseconds = 10_000;
const burstStart = 0.4;
const burstMilliseconds: Milliseconds = 2_000;
const lossNoticedMilliseconds: Milliseconds = 2_000;
const workersPerRack = 3;
const meanRunMilliseconds: Milliseconds = 349;
const longTasks = 0.01;

/** What a policy asks of the sidecars. */
export interface SidecarManner {
  /** Attempts that may wait for a slot. */
  readonly queueLimit: number;
  /** Whether they tell dispatchers without asking that they may send again. */
  readonly pushesCredits: boolean;
}

/** Runs one scenario to its end. The same seed gives the same result. */
export function runScenario(
  scenario: Scenario,
  policy: PolicyFactory,
  seed: number,
  sidecar: SidecarManner,
): ScenarioResult {
  const run = new ScenarioRun(scenario, policy, seed, sidecar);
  return run.run();
}

class ScenarioRun {
  readonly #scenario: Scenario;
  readonly #clock: EventClock = createEventClock();
  readonly #arrivals: RandomSource;
  readonly #runTimes = new Map<string, Milliseconds>();
  readonly #targets = new Map<string, FakeTarget>();
  readonly #dispatchers = new Map<string, PolicyDispatcher>();
  readonly #tally: ScenarioTally;
  #nextJob = 1;

  constructor(
    scenario: Scenario,
    policy: PolicyFactory,
    seed: number,
    sidecar: SidecarManner,
  ) {
    this.#scenario = scenario;
    this.#arrivals = createRandomSource(seed);
    this.#tally = new ScenarioTally(this.#clock, scenario.nearMilliseconds * 2);
    const names = Array.from(
      { length: scenario.dispatchers },
      (_, position) => `dispatcher-${String(position)}`,
    );
    for (let number = 0; number < scenario.workers; number += 1)
      this.#addTarget(number, names, sidecar);
    names.forEach((name, position) => {
      this.#addDispatcher(name, position, policy, seed);
    });
  }

  run(): ScenarioResult {
    const { durationMilliseconds } = this.#scenario;
    this.#scheduleArrival();
    this.#clock.after(durationMilliseconds / 3, () => {
      this.#killTargets();
    });
    this.#clock.runUntil(durationMilliseconds + 2 * deadlineMilliseconds);
    for (const dispatcher of this.#dispatchers.values()) dispatcher.stop();
    const starts = [...this.#targets.values()].map(one => one.starts);
    return this.#tally.summarize(starts);
  }

  #addTarget(
    number: number,
    dispatchers: readonly string[],
    sidecar: SidecarManner,
  ): void {
    const record = describeTarget(this.#scenario, number);
    const target = new FakeTarget({
      record,
      timers: this.#clock,
      ...sidecar,
      dispatchers,
      runTimeOf: attempt => this.#runTimeOf(attempt),
      report: (dispatcher, report) => {
        this.#sendReport(record, dispatcher, report);
      },
    });
    if (number === 0) target.behaviour = this.#scenario.firstWorker;
    this.#targets.set(record.targetId, target);
  }

  #addDispatcher(
    name: string,
    position: number,
    policy: PolicyFactory,
    seed: number,
  ): void {
    const dispatcher = policy({
      dispatcherId: name,
      dataCentre: nameDataCentre(this.#scenario, position),
      dispatchers: this.#scenario.dispatchers,
      timers: this.#clock,
      seed: seed + position,
      startAttempt: (target, attempt) => {
        this.#sendStart(name, target, attempt);
      },
      cancelAttempts: (target, attempts) => {
        this.#tally.cancelSent();
        this.#clock.after(this.#delay(name, target.targetId), () => {
          for (const key of attempts)
            this.#targets.get(target.targetId)?.cancel(key);
        });
      },
      taskEnded: (jobId, taskId, answered) => {
        this.#tally.taskEnded(jobId, answered);
      },
    });
    for (const target of this.#targets.values())
      dispatcher.addTarget(target.record);
    this.#dispatchers.set(name, dispatcher);
  }

  #sendStart(
    dispatcher: string,
    target: TargetIdentity,
    attempt: AttemptStart,
  ): void {
    this.#tally.startSent();
    this.#clock.after(this.#delay(dispatcher, target.targetId), () => {
      this.#targets.get(target.targetId)?.accept(attempt);
    });
  }

  #sendReport(
    record: TargetRecord,
    dispatcher: string,
    report: TargetReport,
  ): void {
    const { result, load, credits } = report;
    this.#tally.reportSent(result?.outcome === AttemptOutcome.Answered);
    this.#clock.after(this.#delay(dispatcher, record.targetId), () => {
      const receiver = this.#dispatchers.get(dispatcher);
      if (result === undefined) receiver?.creditsGranted(record, credits);
      else receiver?.attemptEnded(record, result, load, credits);
    });
  }

  #delay(dispatcher: string, targetId: string): Milliseconds {
    const { nearMilliseconds, farMilliseconds } = this.#scenario;
    const position = Number(dispatcher.replace(/\D/g, ''));
    const target = this.#targets.get(targetId)?.record.dataCentre;
    const near = nameDataCentre(this.#scenario, position) === target;
    return near ? nearMilliseconds : farMilliseconds;
  }

  #scheduleArrival(): void {
    const { workers, slots, load, tasksPerJob } = this.#scenario;
    const jobsPerMillisecond =
      (workers * slots * load) / meanRunMilliseconds / tasksPerJob;
    const rate =
      jobsPerMillisecond * (this.#isBursting() ? this.#scenario.burst : 1);
    const gap = -Math.log(1 - this.#arrivals.fraction()) / rate;
    this.#clock.after(gap, () => {
      if (this.#clock.now() > this.#scenario.durationMilliseconds) return;
      this.#submitJob();
      this.#scheduleArrival();
    });
  }

  #isBursting(): boolean {
    const start = this.#scenario.durationMilliseconds * burstStart;
    const now = this.#clock.now();
    return now >= start && now < start + burstMilliseconds;
  }

  #submitJob(): void {
    const { tasksPerJob, dispatchers, idempotent } = this.#scenario;
    const jobId = `job-${String(this.#nextJob++)}`;
    const tasks = Array.from({ length: tasksPerJob }, (_, position) => ({
      taskId: `task-${String(position)}`,
      payload: '1',
    }));
    const runs = tasks.map(() => drawRunTime(this.#arrivals));
    tasks.forEach(({ taskId }, position) => {
      this.#runTimes.set(`${jobId}/${taskId}`, runs[position] ?? 0);
    });
    const job: JobRequest = {
      jobId,
      service: 'register',
      team: 'planning',
      tasks,
      idempotent,
      deadlineMilliseconds,
    };
    const chosen = `dispatcher-${String(this.#arrivals.below(dispatchers))}`;
    this.#tally.jobSubmitted(jobId, tasksPerJob, Math.max(...runs));
    const admitted = this.#dispatchers.get(chosen)?.submit(job) ?? false;
    if (!admitted) this.#tally.jobRefused(jobId);
  }

  #killTargets(): void {
    const targets = [...this.#targets.values()];
    for (const target of targets.slice(0, this.#scenario.deaths)) {
      target.die();
      this.#clock.after(lossNoticedMilliseconds, () => {
        for (const dispatcher of this.#dispatchers.values())
          dispatcher.loseTarget(target.record);
      });
    }
  }

  #runTimeOf({ jobId, taskId }: AttemptStart): Milliseconds {
    return this.#runTimes.get(`${jobId}/${taskId}`) ?? 0;
  }
}

/** Most tasks take 50 ms to 1 s, a few take several seconds. */
function drawRunTime(random: RandomSource): Milliseconds {
  if (random.fraction() < longTasks) return 2_000 + random.fraction() * 3_000;
  return 50 * 20 ** random.fraction();
}

function describeTarget(scenario: Scenario, number: number): TargetRecord {
  const rack = Math.floor(number / workersPerRack);
  return {
    targetId: `worker-${String(number)}`,
    incarnation: 'run-1',
    service: 'register',
    host: `host-${String(number)}`,
    rack: `rack-${String(rack)}`,
    dataCentre: nameDataCentre(scenario, rack),
    resources: { processors: 64, memoryMebibytes: 131_072, accelerators: 0 },
    slots: scenario.slots,
    connections: 64,
    registeredAt: number + 1,
  };
}

function nameDataCentre(scenario: Scenario, position: number): string {
  return `data-centre-${String(position % scenario.dataCentres)}`;
}
