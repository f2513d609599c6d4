/** Creates the tokens that local settings leave out. */
import { createToken, digestToken } from '@cranberryturn/authentication';
import type { LocalSettings } from '@cranberryturn/settings';

const localTeam = 'local-team';
const localOperator = 'local-operator';

/** Plain-text tokens that were created for one run. */
export interface LocalTokens {
  /** Token of the team; undefined when the settings name teams. */
  readonly team?: string | undefined;
  /** Token of the operator; undefined when the settings name operators. */
  readonly operator?: string | undefined;
}

/** Adds a team or an operator with a new token to settings that name none. */
export function createMissingTokens(settings: LocalSettings): {
  readonly settings: LocalSettings;
  readonly tokens: LocalTokens;
} {
  const team = settings.teams.length === 0 ? createToken() : undefined;
  const operator = settings.operators.length === 0 ? createToken() : undefined;
  const teams =
    team === undefined
      ? settings.teams
      : [{ team: localTeam, tokenDigests: [digestToken(team)] }];
  const operators =
    operator === undefined
      ? settings.operators
      : [{ name: localOperator, tokenDigests: [digestToken(operator)] }];
  return {
    settings: { ...settings, teams, operators },
    tokens: { team, operator },
  };
}
