/** Checks of the messages about attempts between dispatchers and sidecars. */
import { AttemptOutcome, NotStartedReason } from '@cranberryturn/types';

import {
  isCount,
  isFiniteNumber,
  isFlag,
  isIgnored,
  isListOf,
  isOneOf,
  isOptional,
  isRecord,
  isText,
  isVariant,
  type ShapeCheck,
} from '../shapes.js';
import {
  isDispatcherAddress,
  isTargetAnnouncement,
  isTargetLoad,
} from './common-checks.js';
import { FromTargetKind, ToTargetKind } from './target-messages.js';

const attemptKey = {
  jobId: isText,
  taskId: isText,
  attempt: isCount,
  epoch: isCount,
};
const isAttemptKey = isRecord(attemptKey);

const isAttemptStart = isRecord({
  ...attemptKey,
  service: isText,
  dispatcher: isText,
  payload: isText,
  declared: isOptional(isRecord({})),
  idempotent: isFlag,
  remainingMilliseconds: isFiniteNumber,
  slackMilliseconds: isOptional(isFiniteNumber),
});

const isAttemptOutcome = isVariant('outcome', {
  [AttemptOutcome.Answered]: isRecord({
    answer: isText,
    runMilliseconds: isFiniteNumber,
  }),
  [AttemptOutcome.Failed]: isRecord({
    reason: isText,
    runMilliseconds: isFiniteNumber,
  }),
  [AttemptOutcome.NotStarted]: isRecord({ reason: isOneOf(NotStartedReason) }),
});
const isAttemptResult: ShapeCheck = value =>
  isAttemptKey(value) && isAttemptOutcome(value);

/** Whether a decoded value is a `ToTargetMessage`, perhaps of a later version. */
export const isToTargetMessage = isVariant(
  'kind',
  {
    [ToTargetKind.StartAttempt]: isRecord({
      attempt: isAttemptStart,
      requestId: isOptional(isText),
    }),
    [ToTargetKind.CancelAttempts]: isRecord({
      attempts: isListOf(isAttemptKey),
      reason: isText,
    }),
    [ToTargetKind.FenceJob]: isRecord({ jobId: isText, epoch: isCount }),
    [ToTargetKind.ApplySettings]: isRecord({
      version: isCount,
      slots: isOptional(isCount),
      draining: isFlag,
    }),
    [ToTargetKind.ApplySessions]: isRecord({
      rosterVersion: isCount,
      dispatchers: isListOf(isDispatcherAddress),
      leaveOthers: isFlag,
    }),
    [ToTargetKind.OpenSession]: isRecord({ dispatcher: isDispatcherAddress }),
  },
  isIgnored,
);

/** Whether a decoded value is a `FromTargetMessage`, perhaps of a later version. */
export const isFromTargetMessage = isVariant(
  'kind',
  {
    [FromTargetKind.Announce]: isRecord({
      announcement: isTargetAnnouncement,
      load: isTargetLoad,
    }),
    [FromTargetKind.AttemptEnded]: isRecord({
      result: isAttemptResult,
      load: isTargetLoad,
    }),
    [FromTargetKind.LoadReport]: isRecord({
      load: isTargetLoad,
      settingsVersion: isOptional(isCount),
    }),
    [FromTargetKind.JobEvidence]: isRecord({
      evidence: isRecord({
        jobId: isText,
        epoch: isCount,
        ended: isListOf(isAttemptResult),
        running: isListOf(isAttemptKey),
        forgotten: isListOf(isAttemptKey),
        rememberedMilliseconds: isFiniteNumber,
      }),
    }),
  },
  isIgnored,
);
