/** One run of a sidecar that has a session with this dispatcher. */
import {
  type ClusterConfiguration,
  type ConfigurationVersion,
  type TargetAnnouncement,
  type TargetIdentity,
  type TargetLoad,
  type TargetRecord,
} from '@cranberryturn/types';
import { ToTargetKind, type ToTargetMessage } from '@cranberryturn/wire';

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
  suspected: boolean;
  /** The run said that it stops. */
  left: boolean;
  /** Whether a task is registering it at the moment. */
  registering: boolean;
  settingsSent: string;
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
    suspected: false,
    left: false,
    registering: false,
    settingsSent: '',
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

/** Whether the run was told of settings that it has not confirmed. */
export function isBehind(target: ConnectedTarget): boolean {
  return target.settingsVersion < target.settingsSentVersion;
}

/** Names a run of a sidecar. */
export function describeRun(target: TargetIdentity): string {
  return `${target.targetId}/${target.incarnation}`;
}
