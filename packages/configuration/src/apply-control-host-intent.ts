/** Computes the control hosts that an intent leads to. */
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

/** Most control hosts at the same time. */
export const maximumControlHosts = 7;

type ControlHostIntent =
  AddControlHostIntent | RemoveControlHostIntent | ReplaceControlHostIntent;

/** Returns the configuration with the changed control hosts, still at the old version. */
export function applyControlHostIntent(
  configuration: ClusterConfiguration,
  intent: ControlHostIntent,
): Result<ClusterConfiguration, InvalidInputError> {
  return changeHosts(configuration.controlHosts, intent).map(controlHosts => ({
    ...configuration,
    controlHosts,
  }));
}

function changeHosts(
  hosts: readonly ControlHostConfiguration[],
  intent: ControlHostIntent,
): Result<readonly ControlHostConfiguration[], InvalidInputError> {
  switch (intent.kind) {
    case IntentKind.AddControlHost:
      return addHost(hosts, intent.controlHost);
    case IntentKind.RemoveControlHost:
      return removeHost(hosts, intent.replicaId).andThen(left =>
        left.length === 0
          ? refuse<readonly ControlHostConfiguration[]>(
              'The last control host cannot be removed.',
            )
          : ok(left),
      );
    case IntentKind.ReplaceControlHost:
      return removeHost(hosts, intent.replicaId).andThen(left =>
        addHost(left, intent.replacement, hosts),
      );
  }
}

function addHost(
  hosts: readonly ControlHostConfiguration[],
  added: ControlHostConfiguration,
  known: readonly ControlHostConfiguration[] = hosts,
): Result<readonly ControlHostConfiguration[], InvalidInputError> {
  if (known.some(host => host.replicaId === added.replicaId)) {
    return refuse(
      `Replica ${added.replicaId} is a control host already; a blank host takes the new identity that it logs at start.`,
    );
  }
  const taken = hosts.find(host => isSameAddress(host, added));
  if (taken !== undefined) {
    return refuse(
      `Replica ${taken.replicaId} has the same address; use replace-control-host to put ${added.replicaId} in its place.`,
    );
  }
  if (hosts.length >= maximumControlHosts) {
    return refuse(
      `There are ${String(hosts.length)} control hosts, and never more than ${String(maximumControlHosts)}; remove one first.`,
    );
  }
  return ok([...hosts, added]);
}

function removeHost(
  hosts: readonly ControlHostConfiguration[],
  replicaId: string,
): Result<readonly ControlHostConfiguration[], InvalidInputError> {
  const left = hosts.filter(host => host.replicaId !== replicaId);
  if (left.length < hosts.length) return ok(left);
  return refuse(
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

function refuse<Value>(sentence: string): Result<Value, InvalidInputError> {
  return err(
    new InvalidInputError(`${sentence} Nothing was changed.`, {
      step: 'apply intent',
    }),
  );
}
