/** The state of control as bytes: a header, then the records of the claims as they lie in memory. */
import { ClaimTable, type ClaimTableSnapshot } from '@cranberryturn/claims';
import type { ConfigurationSnapshot } from '@cranberryturn/configuration';
import type { RosterSnapshot } from '@cranberryturn/membership';
import { noPublication, type Publication } from '@cranberryturn/types';
import { Packr } from 'msgpackr';

const formatMagic = 0x32_4e_53_43;
const magicBytes = 4;
const headerLengthBytes = 4;
const prefixBytes = magicBytes + headerLengthBytes;
const packer = new Packr({ useRecords: true, variableMapSize: true });

/** Everything that control knows. */
export interface ControlSnapshot {
  readonly claims: ClaimTable;
  readonly roster: RosterSnapshot;
  readonly configuration: ConfigurationSnapshot;
  readonly publication: Publication;
}

interface SnapshotHeader {
  readonly claims: ClaimTableSnapshot;
  readonly roster: RosterSnapshot;
  readonly configuration: ConfigurationSnapshot;
  /** Missing in snapshots of versions that knew no publications. */
  readonly publication?: Publication | undefined;
}

/** Encodes a snapshot with one copy of the claims. */
export function encodeControlSnapshot({
  claims,
  roster,
  configuration,
  publication,
}: ControlSnapshot): Uint8Array {
  const unpackedHeader: SnapshotHeader = {
    claims: claims.capture(),
    roster,
    configuration,
    publication,
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

/** Decodes a snapshot; the log has checked its checksum. */
export function decodeControlSnapshot(bytes: Uint8Array): ControlSnapshot {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  if (view.getUint32(0, true) !== formatMagic) {
    throw new Error(
      'The snapshot of control is of another version; run the version that wrote it, or join as a new replica.',
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
  };
}
