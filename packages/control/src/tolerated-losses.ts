/** Checks whether voters outlast the tolerated losses, and chooses voters that do. */

/** More hosts than this help no group of at most seven voters. */
const maximumAddedHosts = 7;

/** The losses that must leave a majority: as many hosts, or as many whole data centres. */
export interface ToleratedLosses {
  readonly hosts: number;
  readonly dataCentres: number;
}

/** Number of voters, or of hosts with a disk, in each data centre. */
export type HostLayout = ReadonlyMap<string, number>;

/** Counts hosts by the data centre of each. */
export function countByDataCentre(dataCentres: readonly string[]): HostLayout {
  const counts = new Map<string, number>();
  for (const dataCentre of dataCentres)
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  return counts;
}

/** Counts the hosts of a layout. */
export function countHosts(layout: HostLayout): number {
  return [...layout.values()].reduce((sum, hosts) => sum + hosts, 0);
}

/** Counts the voters that the worst of the tolerated losses takes. */
export function countLostVoters(
  voters: HostLayout,
  { hosts, dataCentres }: ToleratedLosses,
): number {
  const largest = [...voters.values()]
    .sort((left, right) => right - left)
    .slice(0, dataCentres)
    .reduce((sum, count) => sum + count, 0);
  return Math.max(largest, Math.min(hosts, countHosts(voters)));
}

/** Number of voters that form a majority. */
export function countMajority(voters: HostLayout): number {
  return Math.floor(countHosts(voters) / 2) + 1;
}

/**
 * Whether each of the tolerated losses leaves a majority. A majority of the voters shares a voter
 * with the majority that acknowledged any entry, so it can elect a leader that has all of them.
 */
export function tolerates(
  voters: HostLayout,
  losses: ToleratedLosses,
): boolean {
  const remaining = countHosts(voters) - countLostVoters(voters, losses);
  return remaining >= countMajority(voters);
}

/** What the choice of voters follows from. */
export interface VoterChoice {
  /** Hosts with a disk that can vote. */
  readonly hosts: HostLayout;
  readonly losses: ToleratedLosses;
  readonly maximumVoters: number;
  /** Decides between data centres that have equally many voters so far: the higher one is next. */
  readonly rank: (dataCentre: string, voters: number) => number;
}

/**
 * Chooses as many voters as possible that outlast the tolerated losses, up to the maximum. Where no
 * number of voters does, as many as possible are chosen.
 */
export function chooseVoters(choice: VoterChoice): HostLayout {
  const most = Math.min(choice.maximumVoters, countHosts(choice.hosts));
  for (let total = most; total > 0; total -= 1) {
    const voters = spreadVoters(choice, total);
    if (tolerates(voters, choice.losses)) return voters;
  }
  return spreadVoters(choice, most);
}

/**
 * Spreads voters evenly over data centres. No other layout with as many voters loses fewer of them
 * with its largest data centres.
 */
function spreadVoters({ hosts, rank }: VoterChoice, total: number): HostLayout {
  const voters = new Map<string, number>();
  for (let added = 0; added < total; added += 1) {
    const [next] = [...hosts]
      .map(([dataCentre, available]) => ({
        dataCentre,
        available,
        count: voters.get(dataCentre) ?? 0,
      }))
      .filter(({ available, count }) => count < available)
      .sort(
        (left, right) =>
          left.count - right.count ||
          rank(right.dataCentre, right.count) -
            rank(left.dataCentre, left.count) ||
          left.dataCentre.localeCompare(right.dataCentre),
      );
    if (next === undefined) break;
    voters.set(next.dataCentre, next.count + 1);
  }
  return voters;
}

/**
 * Finds the fewest hosts with a disk to add so that some choice of voters outlasts the losses, in
 * present data centres rather than in others. Returns all hosts then, or undefined if none suffice.
 * The present hosts are enough while the group still changes its voters.
 */
export function findSufficientHosts(
  choice: Omit<VoterChoice, 'rank'>,
): HostLayout | undefined {
  for (let added = 0; added <= maximumAddedHosts; added += 1) {
    for (let others = 0; others <= added; others += 1) {
      const hosts = addHosts(choice.hosts, added, others);
      const voters = chooseVoters({ ...choice, hosts, rank: () => 0 });
      if (tolerates(voters, choice.losses)) return hosts;
    }
  }
  return undefined;
}

/** Adds hosts one by one to the data centre with the fewest, among them some without any yet. */
function addHosts(
  present: HostLayout,
  added: number,
  others: number,
): HostLayout {
  const hosts = new Map(present);
  for (let number = 1; number <= others; number += 1)
    hosts.set(`other data centre ${String(number)}`, 0);
  for (let number = 0; number < added; number += 1) {
    const [smallest] = [...hosts].sort(([, left], [, right]) => left - right);
    if (smallest !== undefined) hosts.set(smallest[0], smallest[1] + 1);
  }
  return hosts;
}
