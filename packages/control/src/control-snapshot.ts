/**
 * The snapshot format of the control state: magic number, header length, a header in MessagePack,
 * then the claim records as a plain copy of their memory.
 */
import { ClaimTable, type ClaimTableSnapshot } from '@cranberryturn/claims';
import type { ConfigurationSnapshot } from '@cranberryturn/configuration';
import type { RosterSnapshot } from '@cranberryturn/membership';
import { noPublication, type Publication } from '@cranberryturn/types';
import { Packr } from 'msgpackr';

import {
  captureEvacuations,
  type EvacuationRecord,
  type EvacuationSnapshot,
  restoreEvacuations,
} from './evacuations.js';

const formatMagic = 0x32_4e_53_43;
const magicBytes = 4;
const headerLengthBytes = 4;
const prefixBytes = magicBytes + headerLengthBytes;
const packer = new Packr({ useRecords: true, variableMapSize: true });

/** The whole replicated state of control. */
export interface ControlSnapshot {
  readonly claims: ClaimTable;
  readonly roster: RosterSnapshot;
  readonly configuration: ConfigurationSnapshot;
  readonly publication: Publication;
  readonly evacuations: EvacuationRecord;
}

interface SnapshotHeader {
  readonly claims: ClaimTableSnapshot;
  readonly roster: RosterSnapshot;
  readonly configuration: ConfigurationSnapshot;
  /** Absent in snapshots written by versions without publications. */
  readonly publication?: Publication | undefined;
  /** Absent in snapshots written by versions without evacuations. */
  readonly evacuations?: EvacuationSnapshot | undefined;
}

/** Encodes a snapshot. The claim records are copied once, straight into the result. */
export function encodeControlSnapshot({
  claims,
  roster,
  configuration,
  publication,
  evacuations,
}: ControlSnapshot): Uint8Array {
  const unpackedHeader: SnapshotHeader = {
    claims: claims.capture(),
    roster,
    configuration,
    publication,
    evacuations: captureEvacuations(evacuations),
  };
  const header = packer.pack(unpackedHeader);
  const start = prefixBytes + header.length;
  const bytes = Buffer.allocUnsafeSlow(start + claims.recordBytes);
  bytes.writeUInt32LE(formatMagic, 0);
  bytes.writeUInt32LE(header.length, magicBytes);
  bytes.set(header, prefixBytes);
  claims.copyRecords(bytes.subarray(start));
  return bytes;
}

/**
 * Decodes a snapshot whose checksum the log has verified. Throws when another version wrote the
 * snapshot.
 */
export function decodeControlSnapshot(bytes: Uint8Array): ControlSnapshot {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  if (view.getUint32(0, true) !== formatMagic) {
    throw new Error(
      'The control snapshot was written by another version; run that version, or join as a new replica.',
    );
  }
  const start = prefixBytes + view.getUint32(magicBytes, true);
  const header = packer.unpack(
    bytes.subarray(prefixBytes, start),
  ) as SnapshotHeader;
  return {
    claims: new ClaimTable(header.claims, bytes.subarray(start)),
    roster: header.roster,
    configuration: header.configuration,
    publication: header.publication ?? noPublication,
    evacuations: restoreEvacuations(header.evacuations),
  };
}
