/** Runs a local system as the role of the program `cranberry-local`. */
import type { CranberryError } from '@cranberryturn/errors';
import type {
  ProgramHost,
  RoleEnvironment,
  RunningRole,
} from '@cranberryturn/program';
import type { LocalSettings } from '@cranberryturn/settings';
import type { ResultAsync } from 'neverthrow';

import type { LocalTokens } from './create-missing-tokens.js';
import { type LocalSystem, startLocalSystem } from './start-local-system.js';

/** Starts the system and prints the tokens that were created because the settings name none. */
export function startLocalRole(
  settings: LocalSettings,
  { timers }: RoleEnvironment,
  host: ProgramHost,
): ResultAsync<RunningRole, CranberryError> {
  return startLocalSystem(settings, timers).map(system => {
    host.writeOutput(describeTokens(system.tokens));
    return {
      addresses: listAddresses(system),
      stop: () => system.stop(),
    };
  });
}

function describeTokens({ team, operator }: LocalTokens): string {
  const lines = [
    ...(team === undefined ? [] : [`Token of a team for this run: ${team}\n`]),
    ...(operator === undefined
      ? []
      : [`Token of an operator for this run: ${operator}\n`]),
  ];
  return lines.join('');
}

function listAddresses({
  dispatchers,
  controlReplicas,
}: LocalSystem): RunningRole['addresses'] {
  const callerAddresses = dispatchers.flatMap(({ name, addresses }) =>
    addresses['callers'] === undefined ? [] : [[name, addresses['callers']]],
  );
  const operatorAddresses = controlReplicas.flatMap(({ name, addresses }) =>
    addresses['administration'] === undefined
      ? []
      : [[`${name} administration`, addresses['administration']]],
  );
  return Object.fromEntries([
    ...callerAddresses,
    ...operatorAddresses,
  ]) as RunningRole['addresses'];
}
