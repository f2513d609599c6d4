/** One host of a model run: a disk that outlives its replica. */
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

/** What the hosts of a run share. */
export interface ModelWorld {
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
  readonly #world: ModelWorld;
  #start: BootstrapStart | JoinStart;
  #run = 0;
  #isRunning = false;

  constructor(
    world: ModelWorld,
    name: string,
    start: BootstrapStart | JoinStart,
  ) {
    this.#world = world;
    this.name = name;
    this.#start = start;
    this.disk = createMemoryLogDisk(world.timers);
    if (start.kind === StartKind.Bootstrap) this.replicaId = start.replicaId;
  }

  /** True from the start of a process until it dies. */
  get isRunning(): boolean {
    return this.#isRunning;
  }

  /** The running replica, when it says that it leads. */
  leadingLog(): ReplicatedLog<number> | undefined {
    const leads = this.log?.status().role === ReplicaRole.Leader;
    return leads ? this.log : undefined;
  }

  /** Starts a process on the disk as it is. Opening goes on in the background. */
  open(): void {
    if (this.#isRunning) return;
    this.#isRunning = true;
    this.#run += 1;
    const run = this.#run;
    const { timers, random, tuning } = this.#world;
    this.stateMachine = new RecordingStateMachine(entry => {
      this.#world.invariants.noteApplied(this.replicaId ?? this.name, entry);
    });
    const opening = openReplicatedLog<number>({
      disk: this.disk,
      link: {
        call: (peer, message) =>
          this.#world.network
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
        if (run === this.#run && this.#isRunning) this.#adopt(log);
        else void log.stop();
      },
      error => {
        this.openError = error;
      },
    );
  }

  /** The process dies; unsynced bytes of its disk are lost, torn or kept. */
  crash(): void {
    this.#end();
    this.disk = this.disk.afterCrash(this.#world.random);
  }

  /** The process dies within one of its next changes of files. */
  crashWithin(operations: number): void {
    const run = this.#run;
    this.disk.dieAfter(operations, () => {
      if (run === this.#run) this.crash();
    });
  }

  /** The process dies and its disk is lost. */
  wipe(): void {
    this.#end();
    this.disk.crash();
    this.disk = createMemoryLogDisk(this.#world.timers);
  }

  /** From the next start on, a blank disk joins under a new identity. */
  joinAnew(): void {
    this.#start = { kind: StartKind.Join, host: this.name };
    this.replicaId = undefined;
  }

  #adopt(log: ReplicatedLog<number>): void {
    const { replicaId } = log.status();
    this.log = log;
    this.replicaId = replicaId;
    this.#world.network.attach(replicaId, (from, message) =>
      log.handlePeerMessage(from, message),
    );
    this.#noteLeadership(log);
    log.subscribe(event => {
      if (event.kind === LogEventKind.RoleChanged) this.#noteLeadership(log);
    });
  }

  #noteLeadership(log: ReplicatedLog<number>): void {
    const { role, replicaId, term } = log.status();
    if (role !== ReplicaRole.Leader) return;
    this.#world.invariants.noteLeader(replicaId, term);
  }

  #end(): void {
    if (this.replicaId !== undefined) {
      this.#world.network.detach(this.replicaId);
    }
    this.#isRunning = false;
    this.openError = undefined;
    void this.log?.stop();
    this.log = undefined;
  }
}
