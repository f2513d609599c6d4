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
  LogEventKind,
  ReplicaRole,
  StartKind,
  type BootstrapStart,
  type JoinStart,
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
  #start: BootstrapStart | JoinStart;
  #processNumber = 0;
  #isRunning = false;

  constructor(
    environment: ModelEnvironment,
    name: string,
    start: BootstrapStart | JoinStart,
  ) {
    this.#environment = environment;
    this.name = name;
    this.#start = start;
    this.disk = createMemoryLogDisk(environment.timers);
    if (start.kind !== StartKind.Bootstrap) return;
    this.replicaId = start.replicaId;
    this.#identities.add(start.replicaId);
  }

  /** Whether the process is running, including while the log opens. */
  get isRunning(): boolean {
    return this.#isRunning;
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
    const { timers, random, tuning } = this.#environment;
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
      start: this.#start,
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
    this.#start = { kind: StartKind.Join, host: this.name };
    this.replicaId = undefined;
  }

  #attachLog(log: ReplicatedLog<number>): void {
    const { replicaId } = log.status();
    this.log = log;
    this.replicaId = replicaId;
    this.#identities.add(replicaId);
    for (const identity of this.#identities)
      this.#environment.network.attach(identity, (from, message) =>
        log.handlePeerMessage(from, message),
      );
    this.#recordLeadership(log);
    log.subscribe(event => {
      if (event.kind === LogEventKind.RoleChanged) this.#recordLeadership(log);
    });
  }

  #recordLeadership(log: ReplicatedLog<number>): void {
    const { role, replicaId, term } = log.status();
    if (role !== ReplicaRole.Leader) return;
    this.#environment.invariants.recordLeader(replicaId, term);
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
