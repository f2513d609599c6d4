/** Ballots of the seeds, of which a majority decides on the founding members. */
import type { Member } from '../members.js';
import type {
  AcceptedFounders,
  Ballot,
  SeedAnswer,
} from '../ports/peer-link.js';

/** Orders ballots: negative if the left one is earlier. */
export function compareBallots(left: Ballot, right: Ballot): number {
  if (left.round !== right.round) return left.round - right.round;
  if (left.proposer === right.proposer) return 0;
  return left.proposer < right.proposer ? -1 : 1;
}

/** Whether so many of the seeds are a majority. */
export function isMajority(count: number, seeds: number): boolean {
  return count > seeds / 2;
}

/** Whether a seed has taken part in this ballot last. */
export function isBallot(known: Ballot | undefined, ballot: Ballot): boolean {
  return known !== undefined && compareBallots(known, ballot) === 0;
}

/** Returns what a majority of the seeds has accepted in one ballot. */
export function findDecision(
  answers: readonly SeedAnswer[],
  seeds: number,
): readonly Member[] | undefined {
  for (const { accepted } of answers) {
    if (accepted === undefined) continue;
    const alike = answers.filter(answer =>
      isBallot(answer.accepted?.ballot, accepted.ballot),
    );
    if (isMajority(alike.length, seeds)) return accepted.members;
  }
  return undefined;
}

/** Returns what must be proposed after these promises, as it may have been decided. */
export function findLatestAccepted(
  promises: readonly SeedAnswer[],
): AcceptedFounders | undefined {
  return promises
    .flatMap(({ accepted }) => accepted ?? [])
    .sort((left, right) => compareBallots(right.ballot, left.ballot))
    .at(0);
}
