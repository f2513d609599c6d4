/** Many minimal sidecars in one process, which answer every attempt immediately. */
import { createRandomSource } from '@cranberryturn/random';
import { defaultSessionTimes, openSession } from '@cranberryturn/sessions';
import type { TimerService } from '@cranberryturn/timers';
import {
  AttemptOutcome,
  type AttemptStart,
  type NetworkAddress,
  type TargetLoad,
} from '@cranberryturn/types';
import {
  createWebSocketNetwork,
  type FromTargetMessage,
  FromTargetKind,
  type ToTargetMessage,
  ToTargetKind,
} from '@cranberryturn/wire';

import { composeAnnouncement, createSidecarIdentity } from './identities.js';
import { measuredKeys } from './measured-keys.js';

const answerPadding = 'x'.repeat(300);

/** Starts `count` sidecars that open a session with one dispatcher. They stop with the process. */
export function startFakeSidecars(
  count: number,
  dispatcher: NetworkAddress,
  timers: TimerService,
  seed: number,
): void {
  for (let number = 0; number < count; number += 1) {
    startFakeSidecar(number, dispatcher, timers, seed);
  }
}

function startFakeSidecar(
  number: number,
  address: NetworkAddress,
  timers: TimerService,
  seed: number,
): void {
  const announcement = composeAnnouncement(number);
  const load: TargetLoad = {
    freeSlots: announcement.slots,
    queuedTasks: 0,
    draining: false,
  };
  openSession<FromTargetMessage, ToTargetMessage>({
    network: createWebSocketNetwork({
      self: createSidecarIdentity(number),
      keys: measuredKeys,
      timers,
    }),
    address,
    timers,
    random: createRandomSource(seed + number),
    times: defaultSessionTimes,
    startSession: (_, send) => ({
      messageReceived: message => {
        if (message.kind !== ToTargetKind.StartAttempt) return;
        send(composeAnswer(message.attempt, load));
      },
      connected: () => {
        send({ kind: FromTargetKind.Announce, announcement, load });
      },
      suspected: () => undefined,
      ended: () => undefined,
    }),
  });
}

function composeAnswer(
  attempt: AttemptStart,
  load: TargetLoad,
): FromTargetMessage {
  const { jobId, taskId, attempt: number, epoch } = attempt;
  const answer = JSON.stringify({ jobId, taskId, padding: answerPadding });
  return {
    kind: FromTargetKind.AttemptEnded,
    result: {
      jobId,
      taskId,
      attempt: number,
      epoch,
      outcome: AttemptOutcome.Answered,
      answer,
      runMilliseconds: 1,
    },
    load,
  };
}
