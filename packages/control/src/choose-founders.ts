/** Chooses the hosts that found the log, among those with a disk that the seeds have heard of. */
import type { ChooseFounders, Member } from '@cranberryturn/replicated-log';
import type { Milliseconds } from '@cranberryturn/types';

import { findToleratedLosses, type GroupOptions } from './group-options.js';
import { findDataCentre, maximumVoters } from './group-view.js';
import {
  chooseVoters,
  countByDataCentre,
  tolerates,
} from './tolerated-losses.js';

/** So many outlast the loss of one, also where no loss has to be tolerated. */
const usualFounders = 3;
/** Longer than hosts that are switched on together differ in their start, counted from the last of them. */
const incompleteFoundingDelay: Milliseconds = 3_000;

/**
 * Founds at once with voters that outlast the tolerated losses. Hosts that are missing after a delay count among these
 * losses, so one voter more than the tolerated hosts is enough then. Nobody founds alone while a loss is to be tolerated.
 */
export function createFounderChoice(
  group: Pick<GroupOptions, 'minimumVoters' | 'toleratedDataCentres'>,
): ChooseFounders {
  const losses = findToleratedLosses(group);
  const find = (host: Member): string => findDataCentre({ losses }, host);
  return (candidates, waited) => {
    const wanted = chooseVoters({
      hosts: countByDataCentre(candidates.map(find)),
      losses,
      maximumVoters,
      rank: () => 0,
    });
    const founders = [...wanted].flatMap(([dataCentre, count]) =>
      candidates
        .filter(candidate => find(candidate) === dataCentre)
        .slice(0, count),
    );
    const isComplete =
      founders.length >= Math.max(group.minimumVoters, usualFounders) &&
      tolerates(wanted, losses);
    const isEnough =
      waited >= incompleteFoundingDelay && founders.length > losses.hosts;
    return isComplete || isEnough ? founders : [];
  };
}
