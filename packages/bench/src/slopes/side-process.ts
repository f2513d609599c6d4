/** Main module of the measured process and its counterpart, forked by `measureSize`. */
import { createSystemTimerService } from '@cranberryturn/timers';

import { readProcess } from './reading.js';
import type { ScenarioSide } from './scenario.js';
import { findScenario } from './scenarios.js';
import {
  SideName,
  SideOrder,
  type SideReply,
  type SideRequest,
} from './side-messages.js';

const timers = createSystemTimerService();
let startedSide: ScenarioSide | undefined;

process.on('message', (request: SideRequest) => {
  handleRequest(request)
    .catch((cause: unknown): SideReply => ({ error: String(cause) }))
    .then(reply => process.send?.(reply))
    .catch(() => process.exit(1));
});
process.on('disconnect', () => process.exit(0));

async function handleRequest(request: SideRequest): Promise<SideReply> {
  switch (request.order) {
    case SideOrder.Start: {
      startedSide = await startSide(request);
      return { addresses: startedSide.addresses };
    }
    case SideOrder.Ready:
      await requireStartedSide().ready();
      return {};
    case SideOrder.Read:
      return {
        reading: readProcess(timers.now(), requireStartedSide().traffic()),
      };
    case SideOrder.Work:
      return { units: await requireStartedSide().work() };
  }
}

async function startSide(request: SideRequest): Promise<ScenarioSide> {
  const scenario = findScenario(request.scenario);
  const load =
    request.side === SideName.Measured
      ? scenario.loadMeasured
      : scenario.loadCounterpart;
  if (load === undefined) throw new Error('This scenario has no counterpart.');
  const start = await load();
  return start(request);
}

function requireStartedSide(): ScenarioSide {
  if (startedSide === undefined)
    throw new Error(
      'The side has not been started; send the start order first.',
    );
  return startedSide;
}
