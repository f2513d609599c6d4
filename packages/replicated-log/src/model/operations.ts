/** Operations of a model run: what users, faults and time do to the log. */
import fc from 'fast-check';

/** Kinds of operations. */
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
  /** Proposes at the leader, cuts it off, and goes on a little once another one leads. */
  Depose = 'depose',
  Heal = 'heal',
  LinkFaults = 'link-faults',
  SlowDisk = 'slow-disk',
  SlowAllDisks = 'slow-all-disks',
  HangDisk = 'hang-disk',
  FailSyncs = 'fail-syncs',
  Replace = 'replace',
  WipeUnderOldIdentity = 'wipe-under-old-identity',
  Transfer = 'transfer',
}

/** One operation; a kind uses the numbers that it needs. */
export interface Operation {
  readonly kind: OperationKind;
  /** Host it is about, modulo the number of hosts; -1 means the leader. */
  readonly host: number;
  /** Another host. */
  readonly other: number;
  /** Commands, changes of files, or milliseconds, as the kind says. */
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
  { kind: OperationKind.Replace, weight: 3, maximumAmount: 0 },
  { kind: OperationKind.WipeUnderOldIdentity, weight: 1, maximumAmount: 0 },
  { kind: OperationKind.Transfer, weight: 1, maximumAmount: 0 },
];

const leaderOrHost = { min: -1, max: 4 };
const anyHost = { min: 0, max: 4 };

/** Sequences of operations, biased to trouble. */
export function arbitraryOperations(
  maximumLength: number,
): fc.Arbitrary<Operation[]> {
  const operation = fc.oneof(
    ...weights.map(({ kind, weight, maximumAmount }) => ({
      weight,
      arbitrary: fc.record({
        kind: fc.constant(kind),
        host: fc.integer(leaderOrHost),
        other: fc.integer(anyHost),
        amount: fc.integer({ min: 0, max: maximumAmount }),
      }),
    })),
  );
  return fc.array(operation, {
    minLength: 5,
    maxLength: maximumLength,
    size: 'max',
  });
}
