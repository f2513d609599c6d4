/** Chooses the hosts that found the log, among those with a disk that the seeds have heard of. */
import type { ChooseFounders, Member } from '@cranberryturn/replicated-log';

import { findToleratedLosses, type GroupOptions } from './group-options.js';
import { findDataCentre, maximumVoters } from './group-view.js';
import {
  chooseVoters,
  countByDataCentre,
  tolerates,
} from './tolerated-losses.js';

/** Founds with voters that outlast the tolerated losses. */
export function createFounderChoice(
  group: Pick<GroupOptions, 'minimumVoters' | 'toleratedDataCentres'>,
): ChooseFounders {
  const losses = findToleratedLosses(group);
  const find = (host: Member): string => findDataCentre({ losses }, host);
  return candidates => {
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
      founders.length >= group.minimumVoters && tolerates(wanted, losses);
    return isComplete ? founders : [];
  };
}
