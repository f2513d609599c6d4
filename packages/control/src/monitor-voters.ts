/** Logs whether the voters outlast the tolerated losses, once for each change of them. */
import type { Logger } from '@cranberryturn/logger';
import { type Member, MemberRole } from '@cranberryturn/replicated-log';

import { findToleratedLosses, type GroupOptions } from './group-options.js';
import { findDataCentre, isElector, maximumVoters } from './group-view.js';
import {
  countByDataCentre,
  countHosts,
  countLostVoters,
  countMajority,
  findSufficientHosts,
  type HostLayout,
  tolerates,
  type ToleratedLosses,
} from './tolerated-losses.js';

/** Checks the voters while this replica leads. */
export interface VoterMonitor {
  /** Logs one line if the voters changed since the last check. */
  check(members: readonly Member[]): void;
}

/** Creates the monitor of a replica. */
export function createVoterMonitor({
  group,
  logger,
}: {
  readonly group: GroupOptions;
  readonly logger: Logger;
}): VoterMonitor {
  const losses = findToleratedLosses(group);
  let logged: string | undefined;
  return {
    check: members => {
      const voters = countMembers(members, losses, isVoter);
      const fields = composeFields(group, losses, voters);
      const composed = JSON.stringify(fields);
      if (composed === logged) return;
      logged = composed;
      const hasEnough = fields.voters >= fields.needed;
      if (hasEnough && tolerates(voters, losses)) {
        logger.info('control has the voters that the tolerated losses need', {
          ...fields,
        });
        return;
      }
      const hosts = countMembers(members, losses, hasDisk);
      warnOfLosses(logger, fields, { hosts, losses, maximumVoters });
    },
  };
}

function isVoter({ role }: Member): boolean {
  return role === MemberRole.Voter;
}

function hasDisk(member: Member): boolean {
  return isElector(member) || member.isStandby === true;
}

function countMembers(
  members: readonly Member[],
  losses: ToleratedLosses,
  isCounted: (member: Member) => boolean,
): HostLayout {
  const counted = members.filter(isCounted);
  return countByDataCentre(
    counted.map(member => findDataCentre({ losses }, member)),
  );
}

interface VoterFields {
  readonly voters: number;
  readonly needed: number;
  readonly votersByDataCentre?: Readonly<Record<string, number>>;
  readonly tolerated?: ToleratedLosses;
  readonly lostAtWorst?: number;
  readonly majority?: number;
}

/** Composes the numbers; those of data centres only where the loss of one is to be tolerated. */
function composeFields(
  { minimumVoters }: GroupOptions,
  losses: ToleratedLosses,
  voters: HostLayout,
): VoterFields {
  const counts = { voters: countHosts(voters), needed: minimumVoters };
  if (losses.dataCentres === 0) return counts;
  return {
    ...counts,
    votersByDataCentre: Object.fromEntries(voters),
    tolerated: losses,
    lostAtWorst: countLostVoters(voters, losses),
    majority: countMajority(voters),
  };
}

function warnOfLosses(
  logger: Logger,
  fields: VoterFields,
  choice: Parameters<typeof findSufficientHosts>[0],
): void {
  const sufficient =
    choice.losses.dataCentres === 0 ? undefined : findSufficientHosts(choice);
  logger.warn(
    fields.voters < fields.needed
      ? 'control has fewer voters than the tolerated losses need; run it on more hosts with a disk'
      : 'control has too many of its voters in one data centre for the tolerated losses; run it on hosts with a disk in more data centres',
    {
      ...fields,
      ...(sufficient === undefined
        ? {}
        : { sufficientHostsWithDisk: Object.fromEntries(sufficient) }),
    },
  );
}
