/** Table of claimed jobs, changed only by committed operations. */
import type {
  BodyDigest,
  ClaimRetention,
  DispatcherIdentity,
  Milliseconds,
  OwnershipEpoch,
  ServiceName,
} from '@cranberryturn/types';

import {
  bodyDigestWords,
  claimRecordLayout,
  ClaimPhase,
  type ClaimView,
  type NewClaim,
  NumberField,
  submissionDigestWords,
  WordField,
} from './claim-record.js';
import { digestText } from './digest-words.js';
import { type InternedName, NameTable } from './name-table.js';
import { type Digest, RecordIndex } from './record-index.js';
import { RecordList, type RecordListSnapshot } from './record-list.js';
import {
  noRecord,
  RecordPages,
  type RecordPagesSnapshot,
} from './record-pages.js';

const ownerSeparator = '\u0000';
const hexadecimal = 16;
const listLinks = { previous: WordField.Previous, next: WordField.Next };

/** Snapshot of a claim table without its records. */
export interface ClaimTableSnapshot {
  readonly completeSince: Milliseconds;
  readonly pages: RecordPagesSnapshot;
  readonly unfinished: RecordListSnapshot;
  readonly finished: RecordListSnapshot;
  readonly owners: readonly InternedName[];
  readonly services: readonly InternedName[];
}

/** Record number of a claim. Valid until the claim is dropped. */
export type ClaimNumber = number;

/** All claims, about 100 bytes each, in typed arrays outside the JavaScript heap. */
export class ClaimTable {
  readonly #pages = new RecordPages(claimRecordLayout);
  readonly #index = new RecordIndex(this.#pages);
  readonly #owners: NameTable;
  readonly #services: NameTable;
  /** Both lists are ordered by `ChangedTime`. */
  readonly #unfinished: RecordList;
  readonly #finished: RecordList;
  #completeSince: Milliseconds;

  /** Creates an empty table, or restores a table from a snapshot and its record bytes. */
  constructor(snapshot?: ClaimTableSnapshot, records?: Uint8Array) {
    this.#completeSince = snapshot?.completeSince ?? -Infinity;
    this.#owners = new NameTable(snapshot?.owners);
    this.#services = new NameTable(snapshot?.services);
    this.#unfinished = new RecordList(
      this.#pages,
      listLinks,
      snapshot?.unfinished,
    );
    this.#finished = new RecordList(this.#pages, listLinks, snapshot?.finished);
    if (snapshot === undefined || records === undefined) return;
    this.#pages.load(snapshot.pages, records);
    for (const list of [this.#unfinished, this.#finished]) {
      for (const claim of list.records()) this.#index.add(claim);
    }
  }

  /** Claims of jobs that are not reported as answered. */
  get unfinished(): { readonly size: number } {
    return this.#unfinished;
  }

  /** Claims of jobs that were reported as answered. */
  get finished(): { readonly size: number } {
    return this.#finished;
  }

  get size(): number {
    return this.#unfinished.size + this.#finished.size;
  }

  /** Claims of jobs submitted up to this time may have been dropped. Never decreases, even if retention grows. */
  get completeSince(): Milliseconds {
    return this.#completeSince;
  }

  /** Finds the claim of the job with this key. */
  find(key: Digest): ClaimNumber | undefined {
    const claim = this.#index.find(key);
    return claim === noRecord ? undefined : claim;
  }

  read(claim: ClaimNumber): ClaimView {
    const pages = this.#pages;
    const owner = this.#owners.nameOf(pages.word(claim, WordField.Owner));
    return {
      claimedAt: pages.number(claim, NumberField.ClaimedAt),
      claimedTime: pages.number(claim, NumberField.ClaimedTime),
      rosterVersion: pages.number(claim, NumberField.RosterVersion),
      owner: parseOwner(owner),
      epoch: pages.word(claim, WordField.Epoch),
      isFinished: this.#isFinished(claim),
    };
  }

  isSameJob(
    claim: ClaimNumber,
    service: ServiceName,
    digest: BodyDigest,
  ): boolean {
    const number = this.#services.find(service);
    if (number !== this.#pages.word(claim, WordField.Service)) return false;
    return this.#hasDigest(
      claim,
      WordField.Body,
      digestText(digest, bodyDigestWords),
    );
  }

  /** Whether the current epoch was granted to this submission. Compares digests. */
  wasGrantedTo(claim: ClaimNumber, submissionId: string): boolean {
    const digest = digestText(submissionId, submissionDigestWords);
    return this.#hasDigest(claim, WordField.Submission, digest);
  }

  /** Returns a placeholder for the submission of the current epoch. Never equals a submission identifier. */
  composeSubmissionPlaceholder(claim: ClaimNumber): string {
    const high = this.#pages.word(claim, WordField.Submission);
    const low = this.#pages.word(claim, WordField.Submission + 1);
    return `digest:${high.toString(hexadecimal)}:${low.toString(hexadecimal)}`;
  }

  /** Adds a claim in its first epoch. The table must not contain the key. */
  add(key: Digest, job: NewClaim): ClaimNumber {
    const pages = this.#pages;
    const claim = pages.allocate();
    this.#setDigest(claim, WordField.Key, key);
    this.#setDigest(
      claim,
      WordField.Body,
      digestText(job.digest, bodyDigestWords),
    );
    pages.setWord(
      claim,
      WordField.Service,
      this.#services.acquire(job.service),
    );
    pages.setWord(claim, WordField.Epoch, 1);
    pages.setWord(claim, WordField.Phase, ClaimPhase.Unfinished);
    pages.setNumber(claim, NumberField.ClaimedAt, job.claimedAt);
    pages.setNumber(claim, NumberField.ClaimedTime, job.claimedTime);
    pages.setNumber(claim, NumberField.RosterVersion, job.rosterVersion);
    pages.setNumber(claim, NumberField.ChangedTime, job.claimedTime);
    this.#setOwner(claim, job.owner, job.submissionId);
    this.#index.add(claim);
    this.#unfinished.append(claim);
    return claim;
  }

  /** Records the roster version of a grant. */
  recordGrant(claim: ClaimNumber, rosterVersion: number): void {
    this.#pages.setNumber(claim, NumberField.RosterVersion, rosterVersion);
  }

  /** Assigns the job to a new owner in the next epoch. Restarts the retention of an unfinished claim. */
  adopt(
    claim: ClaimNumber,
    owner: DispatcherIdentity,
    submissionId: string,
    time: Milliseconds,
  ): OwnershipEpoch {
    const pages = this.#pages;
    const epoch = pages.word(claim, WordField.Epoch) + 1;
    this.#owners.release(pages.word(claim, WordField.Owner));
    this.#setOwner(claim, owner, submissionId);
    pages.setWord(claim, WordField.Epoch, epoch);
    if (this.#isFinished(claim)) return epoch;
    this.#unfinished.remove(claim);
    pages.setNumber(claim, NumberField.ChangedTime, time);
    this.#unfinished.append(claim);
    return epoch;
  }

  /** Records that the job was answered. Starts the retention of finished claims. */
  finish(claim: ClaimNumber, time: Milliseconds): void {
    if (this.#isFinished(claim)) return;
    this.#unfinished.remove(claim);
    this.#pages.setWord(claim, WordField.Phase, ClaimPhase.Finished);
    this.#pages.setNumber(claim, NumberField.ChangedTime, time);
    this.#finished.append(claim);
  }

  /** Drops every claim whose retention has passed at `now`, in leader time. */
  dropExpired(retention: ClaimRetention, now: Milliseconds): void {
    const cutoff = now - retention.finishedMilliseconds;
    this.#completeSince = Math.max(this.#completeSince, cutoff);
    this.#dropChangedBefore(this.#finished, cutoff);
    this.#dropChangedBefore(
      this.#unfinished,
      now - retention.unfinishedMilliseconds,
    );
  }

  /** Number of bytes that `copyRecords` writes. */
  get recordBytes(): number {
    return this.#pages.byteLength;
  }

  copyRecords(target: Uint8Array): void {
    this.#pages.copyTo(target);
  }

  /** Returns a snapshot without the records, which `copyRecords` writes. */
  capture(): ClaimTableSnapshot {
    return {
      completeSince: this.#completeSince,
      pages: this.#pages.describe(),
      unfinished: this.#unfinished.capture(),
      finished: this.#finished.capture(),
      owners: this.#owners.capture(),
      services: this.#services.capture(),
    };
  }

  #dropChangedBefore(list: RecordList, cutoff: Milliseconds): void {
    for (let claim = list.first; claim !== noRecord; claim = list.first) {
      const time = this.#pages.number(claim, NumberField.ChangedTime);
      if (time >= cutoff) return;
      list.remove(claim);
      this.#index.remove(claim);
      this.#owners.release(this.#pages.word(claim, WordField.Owner));
      this.#services.release(this.#pages.word(claim, WordField.Service));
      this.#pages.release(claim);
    }
  }

  #isFinished(claim: ClaimNumber): boolean {
    const phase: ClaimPhase = this.#pages.word(claim, WordField.Phase);
    return phase === ClaimPhase.Finished;
  }

  #setOwner(
    claim: ClaimNumber,
    { dispatcherId, incarnation }: DispatcherIdentity,
    submissionId: string,
  ): void {
    const name = `${dispatcherId}${ownerSeparator}${incarnation}`;
    this.#pages.setWord(claim, WordField.Owner, this.#owners.acquire(name));
    const digest = digestText(submissionId, submissionDigestWords);
    this.#setDigest(claim, WordField.Submission, digest);
  }

  #setDigest(claim: ClaimNumber, field: WordField, digest: Uint32Array): void {
    for (let position = 0; position < digest.length; position += 1) {
      this.#pages.setWord(claim, field + position, digest[position] ?? 0);
    }
  }

  #hasDigest(
    claim: ClaimNumber,
    field: WordField,
    digest: Uint32Array,
  ): boolean {
    for (let position = 0; position < digest.length; position += 1) {
      if (this.#pages.word(claim, field + position) !== digest[position]) {
        return false;
      }
    }
    return true;
  }
}

function parseOwner(name: string): DispatcherIdentity {
  const [dispatcherId = '', incarnation = ''] = name.split(ownerSeparator);
  return { dispatcherId, incarnation };
}
