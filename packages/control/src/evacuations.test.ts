import { defaultClaimRetention } from '@cranberryturn/claims';
import { defaultRosterRetention } from '@cranberryturn/membership';
import { type EvacuationOrder, noEvacuations } from '@cranberryturn/types';
import test from 'ava';
import { Packr } from 'msgpackr';

import {
  encodeOperations,
  OperationKind,
  OperationOutcomeKind,
} from './control-operations.js';
import { type ControlState, createControlState } from './control-state.js';
import { EvacuationResult } from './evacuations.js';

const lengthOffset = 4;
const headerOffset = 8;

function createState(): ControlState {
  return createControlState({
    claims: defaultClaimRetention,
    roster: defaultRosterRetention,
  });
}

let index = 0;

/** Applies an order that arrived when the entry before it, or an earlier one, had been applied. */
function order(
  state: ControlState,
  dataCentre: string,
  isEvacuated: boolean,
  knownIndex = index,
): EvacuationResult | undefined {
  index += 1;
  const evacuation: EvacuationOrder = { dataCentre, isEvacuated, knownIndex };
  const [outcome] = state.apply({
    index,
    term: 1,
    leaderTime: index * 10,
    command: encodeOperations([
      { kind: OperationKind.Evacuate, order: evacuation, requestId: 'r' },
    ]),
  });
  return outcome?.kind === OperationOutcomeKind.Evacuation
    ? outcome.result
    : undefined;
}

function listEvacuated({ evacuations }: ControlState): readonly string[] {
  return evacuations.state.evacuations.map(({ dataCentre }) => dataCentre);
}

test.beforeEach(() => {
  index = 0;
});

test.serial(
  'an order for a data centre that is already in the ordered state changes nothing',
  t => {
    const state = createState();
    t.is(order(state, 'east', false), EvacuationResult.Unchanged);
    t.is(state.evacuations.state, noEvacuations);
    t.is(order(state, 'east', true), EvacuationResult.Changed);
    const first = state.evacuations.state;
    // A retry whose first try has taken effect, and arrived before that.
    t.is(order(state, 'east', true, 0), EvacuationResult.Unchanged);
    t.is(state.evacuations.state, first);
  },
);

test.serial(
  'an order that was overtaken by a withdrawal, or the other way round, is refused',
  t => {
    const state = createState();
    order(state, 'east', true);
    order(state, 'east', false);
    t.is(order(state, 'east', true, 0), EvacuationResult.Overtaken);
    t.is(order(state, 'east', true, 1), EvacuationResult.Overtaken);
    t.deepEqual(listEvacuated(state), []);
    t.is(order(state, 'east', true), EvacuationResult.Changed);
    t.is(order(state, 'east', false, 4), EvacuationResult.Overtaken);
    t.deepEqual(listEvacuated(state), ['east']);
  },
);

test.serial(
  'an order that was overtaken by a withdrawal which changed nothing is refused',
  t => {
    const state = createState();
    t.is(order(state, 'east', false), EvacuationResult.Unchanged);
    t.is(order(state, 'east', true, 0), EvacuationResult.Overtaken);
    t.is(order(state, 'east', true), EvacuationResult.Changed);
    t.is(order(state, 'east', true), EvacuationResult.Unchanged);
    t.is(order(state, 'east', false, 3), EvacuationResult.Overtaken);
    t.deepEqual(listEvacuated(state), ['east']);
    t.is(state.evacuations.state.version, 1);
  },
);

test.serial('changes of other data centres overtake no order', t => {
  const state = createState();
  order(state, 'east', true);
  t.is(order(state, 'west', true, 0), EvacuationResult.Changed);
  t.deepEqual(listEvacuated(state), ['east', 'west']);
  t.is(order(state, 'east', false, 1), EvacuationResult.Changed);
  t.deepEqual(listEvacuated(state), ['west']);
  t.is(state.evacuations.state.version, 3);
});

test.serial(
  'a snapshot keeps the evacuations and refuses overtaken orders after a restore',
  t => {
    const state = createState();
    order(state, 'east', true);
    order(state, 'west', true);
    order(state, 'west', false);
    const restored = createState();
    restored.restore(state.snapshot(), index);
    t.deepEqual(restored.evacuations, state.evacuations);
    t.is(order(restored, 'west', true, 2), EvacuationResult.Overtaken);
    t.is(order(restored, 'west', true), EvacuationResult.Changed);
  },
);

test.serial(
  'a snapshot of a version without evacuations is restored without any',
  t => {
    const packer = new Packr({ useRecords: true, variableMapSize: true });
    const bytes = Buffer.from(createState().snapshot());
    const end = headerOffset + bytes.readUInt32LE(lengthOffset);
    const header = packer.unpack(bytes.subarray(headerOffset, end)) as object;
    t.true('evacuations' in header);
    const earlier = packer.pack({ ...header, evacuations: undefined });
    const start = Buffer.from(bytes.subarray(0, headerOffset));
    start.writeUInt32LE(earlier.length, lengthOffset);
    const state = createState();
    order(state, 'east', true);
    state.restore(
      Buffer.concat([start, earlier, bytes.subarray(end)]),
      headerOffset,
    );
    t.is(state.evacuations.state, noEvacuations);
    t.is(order(state, 'east', true), EvacuationResult.Changed);
  },
);
