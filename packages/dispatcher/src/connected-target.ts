/** State of one sidecar run that has a session with this dispatcher. */
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

/** A sidecar run with a session here. */
export interface ConnectedTarget {
  readonly identity: TargetIdentity;
  readonly send: (message: ToTargetMessage) => void;
  announcement: TargetAnnouncement | undefined;
  load: TargetLoad | undefined;
  /** Registration under which tasks may be placed; undefined while the run must get none. */
  record: TargetRecord | undefined;
  /** Whether the connection is silent or ended. */
  isSuspected: boolean;
  /** Whether the run announced that it stops. */
  hasStopped: boolean;
  /** Whether a registration is under way. */
  isRegistering: boolean;
  /** JSON of the settings sent last; empty before the first. */
  settingsSent: string;
  /** JSON of the sessions sent last; empty before the first. */
  sessionsSent: string;
  /** Whether the run announced that it closes this session. */
  isLeavingSession: boolean;
  /** Configuration version of the settings sent last; 0 before the first. */
  settingsSentVersion: ConfigurationVersion;
  /** Configuration version of the settings confirmed last; 0 before the first. */
  settingsVersion: ConfigurationVersion;
}

/** Creates the state of a new session. */
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

/** Sends the settings of the target when they differ from those sent last. */
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

/** Sends the planned sessions of the target when they differ from those sent last. */
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

/** Whether the run accepts no more work from this dispatcher. */
export function hasStoppedTakingWork(target: ConnectedTarget): boolean {
  return target.hasStopped || target.isLeavingSession;
}

/** Whether the run has not yet confirmed the settings sent last. */
export function hasUnconfirmedSettings(target: ConnectedTarget): boolean {
  return target.settingsVersion < target.settingsSentVersion;
}

/** Formats the key of a sidecar run. */
export function formatRun(target: TargetIdentity): string {
  return `${target.targetId}/${target.incarnation}`;
}

/** Metrics and logger that receive the state of sessions. */
export interface SessionTelemetry {
  readonly metrics: Metrics;
  readonly logger?: Logger | undefined;
}

/** Records that a connection carries the session of the target. */
export function recordConnected(
  target: ConnectedTarget,
  { metrics, logger }: SessionTelemetry,
): void {
  logger?.info('target connected', { ...target.identity });
  if (target.isSuspected) metrics.count(Counter.SessionsResumed);
  target.isSuspected = false;
}

/** Records that the connection of the target is silent or ended. */
export function recordSuspected(
  target: ConnectedTarget,
  { metrics, logger }: SessionTelemetry,
): void {
  logger?.warn('target suspected', { ...target.identity });
  metrics.count(Counter.SessionsSuspected);
  target.isSuspected = true;
}
