/** Checks of decoded values, composed into checks of whole messages. */

/** Whether a decoded value has the expected shape. Members that are not named are ignored. */
export type ShapeCheck = (value: unknown) => boolean;

/** Checks of the members of a record, by name. */
export type MemberChecks = Readonly<Record<string, ShapeCheck>>;

/** A string. */
export const isText: ShapeCheck = value => typeof value === 'string';

/** True or false. */
export const isFlag: ShapeCheck = value => typeof value === 'boolean';

/** A number other than NaN and the infinities. */
export const isFiniteNumber: ShapeCheck = value => Number.isFinite(value);

/** A finite number of at least 0: an amount or a duration. */
export const isAmount: ShapeCheck = value =>
  Number.isFinite(value) && (value as number) >= 0;

/** An integer of at least 0 that is exact: a counter, a version or an index. */
export const isCount: ShapeCheck = value =>
  Number.isSafeInteger(value) && (value as number) >= 0;

/** A count, or -1 where a peer asks for everything. */
export const isKnownVersion: ShapeCheck = value =>
  value === -1 || isCount(value);

/** One of the values of a string enum. */
export function isOneOf(values: Readonly<Record<string, string>>): ShapeCheck {
  const known = new Set<unknown>(Object.values(values));
  return value => known.has(value);
}

/** A missing value, or one that passes the check. */
export function isOptional(check: ShapeCheck): ShapeCheck {
  return value => value === undefined || value === null || check(value);
}

/** An array of values that pass the check. */
export function isListOf(check: ShapeCheck): ShapeCheck {
  return value => Array.isArray(value) && value.every(one => check(one));
}

/** A record whose named members pass their checks. */
export function isRecord(members: MemberChecks): ShapeCheck {
  const checks = Object.entries(members);
  return value =>
    typeof value === 'object' &&
    value !== null &&
    checks.every(([name, check]) =>
      check((value as Readonly<Record<string, unknown>>)[name]),
    );
}

/**
 * A record that one of its members assigns to a variant; the checks of that variant apply. Records of
 * an unknown variant, which a later version may send, pass `unknownVariant`; by default none does.
 */
export function isVariant(
  member: string,
  variants: Readonly<Record<string, ShapeCheck>>,
  unknownVariant: ShapeCheck = () => false,
): ShapeCheck {
  const checks = new Map(Object.entries(variants));
  return value => {
    if (typeof value !== 'object' || value === null) return false;
    const name = (value as Readonly<Record<string, unknown>>)[member];
    if (typeof name !== 'string') return false;
    return (checks.get(name) ?? unknownVariant)(value);
  };
}

/** A record whose variant the receiver may ignore. */
export const isIgnored: ShapeCheck = () => true;
