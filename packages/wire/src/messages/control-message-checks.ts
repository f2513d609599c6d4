/** Checks of the messages between dispatchers and control. */
import { ClaimOutcomeKind, ClaimRefusal } from '@cranberryturn/types';

import {
  isAmount,
  isCount,
  isFiniteNumber,
  isFlag,
  isIgnored,
  isKnownVersion,
  isListOf,
  isOneOf,
  isOptional,
  isRecord,
  isText,
  isVariant,
} from '../shapes.js';
import {
  isDispatcherIdentity,
  isEvacuationState,
  isNetworkAddress,
  isTargetAnnouncement,
  isTargetIdentity,
} from './common-checks.js';
import {
  ControlMethod,
  ControlNoticeKind,
  ControlReplyKind,
} from './control-messages.js';

const claimRequest = {
  team: isText,
  jobId: isText,
  service: isText,
  digest: isText,
  owner: isDispatcherIdentity,
  submissionId: isText,
  submittedAt: isOptional(isFiniteNumber),
};
const isDispatcherRecord = isRecord({
  dispatcherId: isText,
  incarnation: isText,
  address: isNetworkAddress,
  replacesRun: isOptional(isFlag),
  processors: isOptional(isAmount),
});

/** Whether a decoded value is a `ControlCall`. Any other must not reach the log. */
export const isControlCall = isVariant('method', {
  [ControlMethod.Claim]: isRecord({ claim: isRecord(claimRequest) }),
  [ControlMethod.Adopt]: isRecord({
    adopt: isRecord({ ...claimRequest, expectedEpoch: isCount }),
  }),
  [ControlMethod.FinishClaims]: isRecord({
    finished: isListOf(
      isRecord({ team: isText, jobId: isText, epoch: isCount }),
    ),
  }),
  [ControlMethod.RegisterDispatcher]: isRecord({
    dispatcher: isDispatcherRecord,
  }),
  [ControlMethod.RetireDispatcher]: isRecord({
    dispatcher: isDispatcherIdentity,
  }),
  [ControlMethod.RegisterTarget]: isRecord({ target: isTargetAnnouncement }),
  [ControlMethod.RetireTarget]: isRecord({ target: isTargetIdentity }),
  [ControlMethod.Watch]: isRecord({
    configurationVersion: isKnownVersion,
    rosterVersion: isKnownVersion,
    publicationVersion: isKnownVersion,
    evacuationVersion: isOptional(isKnownVersion),
    asksForProofs: isOptional(isFlag),
    isOnce: isOptional(isFlag),
  }),
});

const isClaimOutcome = isVariant('kind', {
  [ClaimOutcomeKind.Granted]: isRecord({
    epoch: isCount,
    submissionId: isText,
    claimedAt: isCount,
    ageMilliseconds: isFiniteNumber,
    witnesses: isListOf(isTargetIdentity),
    rosterVersion: isCount,
    finished: isFlag,
  }),
  [ClaimOutcomeKind.Held]: isRecord({
    epoch: isCount,
    owner: isDispatcherIdentity,
    ownerAddress: isOptional(isNetworkAddress),
  }),
  [ClaimOutcomeKind.Conflict]: isRecord({}),
  [ClaimOutcomeKind.Refused]: isRecord({ reason: isOneOf(ClaimRefusal) }),
});

/** Whether a decoded value is a `ControlReply`. */
export const isControlReply = isVariant('kind', {
  [ControlReplyKind.Claim]: isRecord({ outcome: isClaimOutcome }),
  [ControlReplyKind.Done]: isRecord({ index: isCount }),
  [ControlReplyKind.NotLeader]: isRecord({ leader: isOptional(isText) }),
  [ControlReplyKind.Unknown]: isRecord({ reason: isText }),
});

/** Whether a decoded value is an `InForceReport`. */
export const isInForceReport = isRecord({
  dispatcher: isDispatcherIdentity,
  configurationVersion: isCount,
  targetsBehind: isListOf(isText),
  silentTargets: isOptional(isListOf(isTargetIdentity)),
});

const isAnyList = isListOf(isRecord({}));
const isTargetRecord = isRecord({ targetId: isText, incarnation: isText });

/** Whether a decoded value is a `ControlNotice`, perhaps of a later version. */
export const isControlNotice = isVariant(
  'kind',
  {
    [ControlNoticeKind.Configuration]: isRecord({
      configuration: isRecord({
        version: isCount,
        services: isAnyList,
        teams: isAnyList,
        workers: isAnyList,
        drainedRacks: isListOf(isText),
        drainedDataCentres: isListOf(isText),
        controlHosts: isAnyList,
      }),
    }),
    [ControlNoticeKind.ConfigurationChanges]: isRecord({
      changes: isListOf(isRecord({ version: isCount, intent: isRecord({}) })),
    }),
    [ControlNoticeKind.Roster]: isRecord({
      roster: isRecord({
        version: isCount,
        dispatchers: isListOf(isDispatcherRecord),
        targets: isListOf(isTargetRecord),
      }),
    }),
    [ControlNoticeKind.RosterChanges]: isRecord({
      changes: isRecord({
        baseVersion: isCount,
        version: isCount,
        dispatchers: isListOf(isDispatcherRecord),
        registered: isListOf(isTargetRecord),
        retired: isListOf(isTargetIdentity),
      }),
    }),
    [ControlNoticeKind.Publication]: isRecord({
      publication: isRecord({ version: isCount, document: isText }),
    }),
    [ControlNoticeKind.ControlHosts]: isRecord({
      addresses: isListOf(isNetworkAddress),
    }),
    [ControlNoticeKind.Evacuations]: isRecord({ state: isEvacuationState }),
    [ControlNoticeKind.Freshness]: isRecord({
      proofAgeMilliseconds: isCount,
      configurationVersion: isCount,
      leader: isOptional(isText),
    }),
  },
  isIgnored,
);
