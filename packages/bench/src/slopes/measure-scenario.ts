/** Measures one scenario at one size, in processes started for this size only. */
import { type ChildProcess, fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';

import type { NetworkAddress } from '@cranberryturn/types';

import {
  computeSizeReading,
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

/** Measures a scenario at one size. Rejects if a process exits or reports an error; both processes are ended. */
export async function measureSize(
  scenario: Scenario,
  size: number,
  seed: number,
): Promise<SizeReading> {
  const measured = startSideProcess();
  const counterpart =
    scenario.loadCounterpart === undefined ? undefined : startSideProcess();
  const sendOrder = async (
    side: SideName,
    name: SideOrder,
    peers: readonly NetworkAddress[] = [],
  ): Promise<SideReply> => {
    const child = side === SideName.Measured ? measured : counterpart;
    if (child === undefined) return {};
    return sendRequest(child, {
      order: name,
      scenario: scenario.name,
      side,
      size,
      seed,
      peers,
    });
  };
  try {
    const [first, second] = sortSidesByStart(scenario);
    const { addresses } = await sendOrder(first, SideOrder.Start);
    await sendOrder(second, SideOrder.Start, addresses);
    await sendOrder(SideName.Counterpart, SideOrder.Ready);
    await sendOrder(SideName.Measured, SideOrder.Ready);
    const before = await sendOrder(SideName.Measured, SideOrder.Read);
    const loading = sendOrder(SideName.Counterpart, SideOrder.Work);
    const { units } = await sendOrder(SideName.Measured, SideOrder.Work);
    await loading;
    const after = await sendOrder(SideName.Measured, SideOrder.Read);
    return computeSizeReading(
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

function sortSidesByStart(scenario: Scenario): [SideName, SideName] {
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

function sendRequest(
  side: ChildProcess,
  request: SideRequest,
): Promise<SideReply> {
  return new Promise((resolve, reject) => {
    const rejectOnExit = (): void => {
      reject(
        new Error(
          `A process of scenario ${request.scenario} exited before it replied.`,
        ),
      );
    };
    side.once('exit', rejectOnExit);
    side.once('message', reply => {
      side.off('exit', rejectOnExit);
      const { error } = reply as SideReply;
      if (error === undefined) resolve(reply as SideReply);
      else reject(new Error(`${request.scenario}: ${error}`));
    });
    side.send(request);
  });
}

function requireReading(reply: SideReply): ProcessReading {
  if (reply.reading === undefined)
    throw new Error('The measured process sent no reading.');
  return reply.reading;
}
