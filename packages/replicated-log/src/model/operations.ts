/** Operations of a model run: client calls, faults and the passage of time. */
import fc from 'fast-check';

/** Kinds of model operations. */
export enum OperationKind {
  Propose = 'propose',
  Confirm = 'confirm',
  Tick = 'tick',
  Crash = 'crash',
  CrashWithin = 'crash-within',
  CrashAll = 'crash-all',
  Restart = 'restart',
  Isolate = 'isolate',
  CutOneWay = 'cut-one-way',
  /** Partitions the leader, proposes there, and continues briefly once another replica leads. */
  Depose = 'depose',
  Heal = 'heal',
  LinkFaults = 'link-faults',
  SlowDisk = 'slow-disk',
  SlowAllDisks = 'slow-all-disks',
  HangDisk = 'hang-disk',
  FailSyncs = 'fail-syncs',
  /** The disk refuses writes for a while. */
  RefuseWrites = 'refuse-writes',
  Replace = 'replace',
  WipeUnderOldIdentity = 'wipe-under-old-identity',
  Transfer = 'transfer',
  /** Kills the process of a seed without a disk. */
  CrashWitness = 'crash-witness',
}

/** One operation. Each kind uses only the numbers that apply. */
export interface Operation {
  readonly kind: OperationKind;
  /** Affected host, modulo the number of hosts; -1 means the leader. */
  readonly host: number;
  /** Second host, modulo the number of hosts. For `Depose`, determines the number of commands. */
  readonly other: number;
  /** Number of commands or write operations, or milliseconds, depending on the kind. */
  readonly amount: number;
}

interface Weight {
  readonly kind: OperationKind;
  readonly weight: number;
  readonly maximumAmount: number;
}

const weights: readonly Weight[] = [
  { kind: OperationKind.Propose, weight: 8, maximumAmount: 6 },
  { kind: OperationKind.Confirm, weight: 2, maximumAmount: 0 },
  { kind: OperationKind.Tick, weight: 5, maximumAmount: 1_500 },
  { kind: OperationKind.Tick, weight: 4, maximumAmount: 120 },
  { kind: OperationKind.Depose, weight: 10, maximumAmount: 120 },
  { kind: OperationKind.Crash, weight: 3, maximumAmount: 0 },
  { kind: OperationKind.CrashWithin, weight: 5, maximumAmount: 9 },
  { kind: OperationKind.CrashAll, weight: 1, maximumAmount: 0 },
  { kind: OperationKind.Restart, weight: 6, maximumAmount: 0 },
  { kind: OperationKind.Isolate, weight: 4, maximumAmount: 0 },
  { kind: OperationKind.CutOneWay, weight: 3, maximumAmount: 0 },
  { kind: OperationKind.Heal, weight: 3, maximumAmount: 0 },
  { kind: OperationKind.LinkFaults, weight: 2, maximumAmount: 300 },
  { kind: OperationKind.SlowDisk, weight: 2, maximumAmount: 400 },
  { kind: OperationKind.SlowAllDisks, weight: 2, maximumAmount: 100 },
  { kind: OperationKind.HangDisk, weight: 1, maximumAmount: 0 },
  { kind: OperationKind.FailSyncs, weight: 1, maximumAmount: 0 },
  { kind: OperationKind.RefuseWrites, weight: 3, maximumAmount: 3_000 },
  { kind: OperationKind.Replace, weight: 3, maximumAmount: 0 },
  { kind: OperationKind.WipeUnderOldIdentity, weight: 1, maximumAmount: 0 },
  { kind: OperationKind.Transfer, weight: 1, maximumAmount: 0 },
];

const witnessWeights: readonly Weight[] = [
  { kind: OperationKind.CrashWitness, weight: 3, maximumAmount: 0 },
];

const leaderOrHost = { min: -1, max: 4 };
const anyHost = { min: 0, max: 4 };

/** Generates sequences of operations, weighted towards faults. */
export function arbitraryOperations(
  maximumLength: number,
  hasWitnesses = false,
): fc.Arbitrary<Operation[]> {
  const operation = fc.oneof(
    ...[...weights, ...(hasWitnesses ? witnessWeights : [])].map(
      ({ kind, weight, maximumAmount }) => ({
        weight,
        arbitrary: fc.record({
          kind: fc.constant(kind),
          host: fc.integer(leaderOrHost),
          other: fc.integer(anyHost),
          amount: fc.integer({ min: 0, max: maximumAmount }),
        }),
      }),
    ),
  );
  return fc.array(operation, {
    minLength: 5,
    maxLength: maximumLength,
    size: 'max',
  });
}
