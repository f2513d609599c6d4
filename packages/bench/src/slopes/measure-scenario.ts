/** Measures one scenario at each of its sizes, each in fresh processes. */
import { type ChildProcess, fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';

import type { NetworkAddress } from '@cranberryturn/types';

import {
  compareReadings,
  type ProcessReading,
  type SizeReading,
} from './reading.js';
import { FirstSide, type Scenario } from './scenario.js';
import {
  SideName,
  SideOrder,
  type SideReply,
  type SideRequest,
} from './side-messages.js';

const sideModule = fileURLToPath(new URL('./side-process.js', import.meta.url));

/** Measures a scenario at one size. */
export async function measureSize(
  scenario: Scenario,
  size: number,
  seed: number,
): Promise<SizeReading> {
  const measured = startSideProcess();
  const counterpart =
    scenario.loadCounterpart === undefined ? undefined : startSideProcess();
  const order = async (
    side: SideName,
    name: SideOrder,
    peers: readonly NetworkAddress[] = [],
  ): Promise<SideReply> => {
    const target = side === SideName.Measured ? measured : counterpart;
    if (target === undefined) return {};
    return askSide(target, {
      order: name,
      scenario: scenario.name,
      side,
      size,
      seed,
      peers,
    });
  };
  try {
    const [first, second] = orderSides(scenario);
    const { addresses } = await order(first, SideOrder.Start);
    await order(second, SideOrder.Start, addresses);
    await order(SideName.Counterpart, SideOrder.Ready);
    await order(SideName.Measured, SideOrder.Ready);
    const before = await order(SideName.Measured, SideOrder.Read);
    const loading = order(SideName.Counterpart, SideOrder.Work);
    const { units } = await order(SideName.Measured, SideOrder.Work);
    await loading;
    const after = await order(SideName.Measured, SideOrder.Read);
    return compareReadings(
      size,
      requireReading(before),
      requireReading(after),
      units ?? 1,
    );
  } finally {
    measured.kill();
    counterpart?.kill();
  }
}

function orderSides(scenario: Scenario): [SideName, SideName] {
  switch (scenario.first) {
    case FirstSide.Measured:
      return [SideName.Measured, SideName.Counterpart];
    case FirstSide.Counterpart:
      return [SideName.Counterpart, SideName.Measured];
  }
}

function startSideProcess(): ChildProcess {
  return fork(sideModule, [], { execArgv: ['--expose-gc'] });
}

function askSide(side: ChildProcess, request: SideRequest): Promise<SideReply> {
  return new Promise((resolve, reject) => {
    const fail = (): void => {
      reject(new Error(`A process of scenario ${request.scenario} ended.`));
    };
    side.once('exit', fail);
    side.once('message', reply => {
      side.off('exit', fail);
      const { error } = reply as SideReply;
      if (error === undefined) resolve(reply as SideReply);
      else reject(new Error(`${request.scenario}: ${error}`));
    });
    side.send(request);
  });
}

function requireReading(reply: SideReply): ProcessReading {
  if (reply.reading === undefined) throw new Error('A reading is missing.');
  return reply.reading;
}
