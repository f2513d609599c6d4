/** One run of a sidecar that has a session with this dispatcher. */
import type { Logger } from '@cranberryturn/logger';
import { Counter, type Metrics } from '@cranberryturn/metrics';
import {
  type ClusterConfiguration,
  type ConfigurationVersion,
  type TargetAnnouncement,
  type TargetIdentity,
  type TargetLoad,
  type TargetRecord,
} from '@cranberryturn/types';
import { ToTargetKind, type ToTargetMessage } from '@cranberryturn/wire';

import type { ApplySessionsMessage } from './session-subsets.js';
import { findTargetSettings } from './target-settings.js';

/** One connected run of a sidecar. */
export interface ConnectedTarget {
  readonly identity: TargetIdentity;
  readonly send: (message: ToTargetMessage) => void;
  announcement: TargetAnnouncement | undefined;
  load: TargetLoad | undefined;
  /** Registration under which it may get work. */
  record: TargetRecord | undefined;
  /** Its connection is silent or ended. */
  isSuspected: boolean;
  /** The run said that it stops. */
  hasStopped: boolean;
  /** Whether a task is registering it at the moment. */
  isRegistering: boolean;
  settingsSent: string;
  sessionsSent: string;
  /** The run said that it closes this session next. */
  isLeavingSession: boolean;
  /** Version of the configuration with the settings sent last; 0 before the first. */
  settingsSentVersion: ConfigurationVersion;
  /** Version of the settings that the run has confirmed; 0 before the first. */
  settingsVersion: ConfigurationVersion;
}

/** Creates the entry of a new session. */
export function createConnectedTarget(
  identity: TargetIdentity,
  send: (message: ToTargetMessage) => void,
): ConnectedTarget {
  return {
    identity,
    send,
    announcement: undefined,
    load: undefined,
    record: undefined,
    isSuspected: false,
    hasStopped: false,
    isRegistering: false,
    settingsSent: '',
    sessionsSent: '',
    isLeavingSession: false,
    settingsSentVersion: 0,
    settingsVersion: 0,
  };
}

/** Sends what the configuration says of the target, unless that was sent last. */
export function sendSettings(
  target: ConnectedTarget,
  configuration: ClusterConfiguration,
): void {
  if (target.announcement === undefined) return;
  const settings = findTargetSettings(configuration, target.announcement);
  const described = JSON.stringify(settings);
  if (described === target.settingsSent) return;
  target.settingsSent = described;
  target.settingsSentVersion = configuration.version;
  target.send({
    kind: ToTargetKind.ApplySettings,
    version: configuration.version,
    ...settings,
  });
}

/** Sends which sessions the target should have, unless that was sent last. */
export function sendSessions(
  target: ConnectedTarget,
  message: ApplySessionsMessage,
): void {
  const { dispatchers, leaveOthers } = message;
  const described = JSON.stringify([dispatchers, leaveOthers]);
  if (described === target.sessionsSent) return;
  target.sessionsSent = described;
  target.send(message);
}

/** Whether the run takes no work of this dispatcher any more. */
export function hasStoppedTakingWork(target: ConnectedTarget): boolean {
  return target.hasStopped || target.isLeavingSession;
}

/** Whether the run was told of settings that it has not confirmed. */
export function hasUnconfirmedSettings(target: ConnectedTarget): boolean {
  return target.settingsVersion < target.settingsSentVersion;
}

/** Names a run of a sidecar. */
export function formatRun(target: TargetIdentity): string {
  return `${target.targetId}/${target.incarnation}`;
}

/** Where the state of sessions is reported. */
export interface SessionTelemetry {
  readonly metrics: Metrics;
  readonly logger?: Logger | undefined;
}

/** Reports that a connection carries the session of the target. */
export function recordConnected(
  target: ConnectedTarget,
  { metrics, logger }: SessionTelemetry,
): void {
  logger?.info('target connected', { ...target.identity });
  if (target.isSuspected) metrics.count(Counter.SessionsResumed);
  target.isSuspected = false;
}

/** Reports that the target is silent. */
export function recordSuspected(
  target: ConnectedTarget,
  { metrics, logger }: SessionTelemetry,
): void {
  logger?.warn('target suspected', { ...target.identity });
  metrics.count(Counter.SessionsSuspected);
  target.isSuspected = true;
}
