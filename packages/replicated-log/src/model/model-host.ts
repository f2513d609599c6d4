/** One host of the model: a disk that survives the crashes of its replica. */
import type { CranberryError } from '@cranberryturn/errors';
import type { RandomSource } from '@cranberryturn/random';
import type { TimerService } from '@cranberryturn/timers';
import type { ReplicaId } from '@cranberryturn/types';

import type { FakePeerNetwork } from '../fakes/fake-peer-network.js';
import {
  createMemoryLogDisk,
  type MemoryLogDisk,
} from '../fakes/memory-log-disk.js';
import {
  FoundingStep,
  LogEventKind,
  ReplicaRole,
  StartKind,
  type ChooseFounders,
  type FoundingStatus,
  type LogStart,
  type LogTuning,
  type ReplicatedLog,
} from '../log-types.js';
import { openReplicatedLog } from '../open-replicated-log.js';
import type { LogInvariants } from './log-invariants.js';
import { RecordingStateMachine } from './recording-state-machine.js';

/** Environment shared by the hosts of a run. */
export interface ModelEnvironment {
  readonly timers: TimerService;
  readonly random: RandomSource;
  readonly network: FakePeerNetwork;
  readonly invariants: LogInvariants;
  readonly tuning: Partial<LogTuning>;
  chooseFounders?: ChooseFounders | undefined;
}

/** A host with a disk and at most one running replica. */
export class ModelHost {
  readonly name: string;
  disk: MemoryLogDisk;
  log: ReplicatedLog<number> | undefined;
  stateMachine = new RecordingStateMachine();
  openError: CranberryError | undefined;
  replicaId: ReplicaId | undefined;
  readonly #environment: ModelEnvironment;
  /** Identities that this host has had. Its replica refuses messages to the former ones. */
  readonly #identities = new Set<ReplicaId>();
  #start: LogStart;
  #processNumber = 0;
  #isRunning = false;

  constructor(environment: ModelEnvironment, name: string, start: LogStart) {
    this.#environment = environment;
    this.name = name;
    this.#start = start;
    this.disk = createMemoryLogDisk(environment.timers);
    if (start.kind === StartKind.Seeded) this.#identities.add(name);
    if (start.kind !== StartKind.Bootstrap) return;
    this.replicaId = start.replicaId;
    this.#identities.add(start.replicaId);
  }

  /** Names under which this host is reached. */
  get networkNames(): readonly string[] {
    return [...this.#identities];
  }

  /** Whether the process is running, including while the log opens. */
  get isRunning(): boolean {
    return this.#isRunning;
  }

  /** Whether the process was started at least once. */
  get hasStarted(): boolean {
    return this.#processNumber > 0;
  }

  /** Log of this host if its replica claims leadership. */
  leadingLog(): ReplicatedLog<number> | undefined {
    const isLeading = this.log?.status().role === ReplicaRole.Leader;
    return isLeading ? this.log : undefined;
  }

  /** Starts a process on the current disk. The log opens in the background. */
  open(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.#processNumber += 1;
    const processNumber = this.#processNumber;
    const { timers, random, tuning, chooseFounders } = this.#environment;
    const start = this.#start;
    // Only the first process of a host is told that the whole system starts for the first time.
    if (start.kind === StartKind.Seeded)
      this.#start = { ...start, isFirstStart: false };
    this.stateMachine = new RecordingStateMachine(entry => {
      this.#environment.invariants.recordApplied(
        this.replicaId ?? this.name,
        entry,
      );
    });
    const opening = openReplicatedLog<number>({
      disk: this.disk,
      link: {
        call: (peer, message) =>
          this.#environment.network
            .linkOf(this.replicaId ?? this.name)
            .call(peer, message),
      },
      stateMachine: this.stateMachine,
      timers,
      random,
      start,
      chooseFounders,
      tuning,
    });
    void opening.match(
      log => {
        if (processNumber === this.#processNumber && this.#isRunning)
          this.#attachLog(log);
        else void log.stop();
      },
      error => {
        this.openError = error;
      },
    );
  }

  /** Crashes the process. Unsynced bytes of the disk are lost, torn or kept. */
  crash(): void {
    this.#endProcess();
    this.disk = this.disk.afterCrash(this.#environment.random);
  }

  /** Crashes the process during one of its next write operations. */
  crashWithin(operations: number): void {
    const processNumber = this.#processNumber;
    this.disk.crashAfter(operations, () => {
      if (processNumber === this.#processNumber) this.crash();
    });
  }

  /** Ends the process and replaces its disk with an empty one. */
  wipe(): void {
    this.#endProcess();
    this.disk.crash();
    this.disk = createMemoryLogDisk(this.#environment.timers);
  }

  /** Makes the next start join the log under a new identity. */
  joinOnNextStart(): void {
    if (this.#start.kind === StartKind.Bootstrap)
      this.#start = { kind: StartKind.Join, host: this.name };
    this.replicaId = undefined;
  }

  #attachLog(log: ReplicatedLog<number>): void {
    const { replicaId } = log.status();
    const { network } = this.#environment;
    this.log = log;
    this.replicaId = replicaId;
    if (this.networkNames.some(network.isIsolated)) network.isolate(replicaId);
    this.#identities.add(replicaId);
    for (const identity of this.#identities)
      this.#environment.network.attach(identity, (from, message) =>
        log.handlePeerMessage(from, message),
      );
    this.#recordLeadership(log);
    this.#recordFounders(log.status().founding);
    log.subscribe(event => {
      if (event.kind === LogEventKind.RoleChanged) this.#recordLeadership(log);
      if (event.kind === LogEventKind.FoundingChanged)
        this.#recordFounders(event.founding);
    });
  }

  #recordLeadership(log: ReplicatedLog<number>): void {
    const { role, replicaId, term } = log.status();
    if (role !== ReplicaRole.Leader) return;
    this.#environment.invariants.recordLeader(replicaId, term);
  }

  #recordFounders(founding: FoundingStatus | undefined): void {
    if (founding?.step === FoundingStep.Decided)
      this.#environment.invariants.recordFounders(this.name, founding.hosts);
  }

  #endProcess(): void {
    for (const identity of this.#identities)
      this.#environment.network.detach(identity);
    this.#isRunning = false;
    this.openError = undefined;
    void this.log?.stop();
    this.log = undefined;
  }
}
