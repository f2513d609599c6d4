/** Applies intents that change the control hosts. */
import { InvalidInputError } from '@cranberryturn/errors';
import {
  type AddControlHostIntent,
  type ClusterConfiguration,
  type ControlHostConfiguration,
  IntentKind,
  type RemoveControlHostIntent,
  type ReplaceControlHostIntent,
} from '@cranberryturn/types';
import { err, ok, type Result } from 'neverthrow';

/** Maximum number of control hosts. */
export const maximumControlHosts = 7;

type ControlHostIntent =
  AddControlHostIntent | RemoveControlHostIntent | ReplaceControlHostIntent;

/**
 * Returns the configuration with changed control hosts and an unchanged
 * version, or the reason why that is not possible.
 */
export function applyControlHostIntent(
  configuration: ClusterConfiguration,
  intent: ControlHostIntent,
): Result<ClusterConfiguration, InvalidInputError> {
  return changeControlHosts(configuration.controlHosts, intent).map(
    controlHosts => ({
      ...configuration,
      controlHosts,
    }),
  );
}

function changeControlHosts(
  hosts: readonly ControlHostConfiguration[],
  intent: ControlHostIntent,
): Result<readonly ControlHostConfiguration[], InvalidInputError> {
  switch (intent.kind) {
    case IntentKind.AddControlHost:
      return addControlHost(hosts, intent.controlHost);
    case IntentKind.RemoveControlHost:
      return removeControlHost(hosts, intent.replicaId).andThen(remaining =>
        remaining.length === 0
          ? composeRefusal<readonly ControlHostConfiguration[]>(
              'The last control host cannot be removed.',
            )
          : ok(remaining),
      );
    case IntentKind.ReplaceControlHost:
      return removeControlHost(hosts, intent.replicaId).andThen(remaining =>
        addControlHost(remaining, intent.replacement, hosts),
      );
  }
}

function addControlHost(
  hosts: readonly ControlHostConfiguration[],
  added: ControlHostConfiguration,
  known: readonly ControlHostConfiguration[] = hosts,
): Result<readonly ControlHostConfiguration[], InvalidInputError> {
  if (known.some(host => host.replicaId === added.replicaId)) {
    return composeRefusal(
      `Replica ${added.replicaId} is a control host already; a blank host takes the new identity that it logs at start.`,
    );
  }
  const taken = hosts.find(host => isSameAddress(host, added));
  if (taken !== undefined) {
    return composeRefusal(
      `Replica ${taken.replicaId} has the same address; use replace-control-host to put ${added.replicaId} in its place.`,
    );
  }
  if (hosts.length >= maximumControlHosts) {
    return composeRefusal(
      `There are ${String(hosts.length)} control hosts, and never more than ${String(maximumControlHosts)}; remove one first.`,
    );
  }
  return ok([...hosts, added]);
}

function removeControlHost(
  hosts: readonly ControlHostConfiguration[],
  replicaId: string,
): Result<readonly ControlHostConfiguration[], InvalidInputError> {
  const remaining = hosts.filter(host => host.replicaId !== replicaId);
  if (remaining.length < hosts.length) return ok(remaining);
  return composeRefusal(
    `Replica ${replicaId} is not a control host; the control hosts are ${hosts.map(host => host.replicaId).join(', ') || 'not declared'}.`,
  );
}

function isSameAddress(
  left: ControlHostConfiguration,
  right: ControlHostConfiguration,
): boolean {
  return (
    left.address.address === right.address.address &&
    left.address.port === right.address.port
  );
}

function composeRefusal<Value>(
  sentence: string,
): Result<Value, InvalidInputError> {
  return err(
    new InvalidInputError(`${sentence} Nothing was changed.`, {
      step: 'apply intent',
    }),
  );
}
