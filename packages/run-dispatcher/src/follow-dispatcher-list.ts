/**
 * The list of dispatchers for sidecars, from the roster. A dispatcher that restarts at its address
 * changes the roster and not the list, since sidecars dial the address again by themselves.
 */
import type { RosterFeed } from '@cranberryturn/membership';
import type {
  DispatcherList,
  KnownDispatcher,
  Roster,
} from '@cranberryturn/types';
import { formatAddress } from '@cranberryturn/wire';

/** The current list, and its changes. */
export interface DispatcherListFeed {
  readonly current: () => DispatcherList;
  /** Calls back after each change of a dispatcher or an address. Returns a function that ends this. */
  readonly subscribe: (listChanged: () => void) => () => void;
}

/** Follows the dispatchers of the roster. */
export function followDispatcherList(
  roster: Pick<RosterFeed, 'current' | 'subscribe'>,
): DispatcherListFeed {
  let list: DispatcherList = { version: 0, dispatchers: [] };
  let knownAddresses = '';

  const update = ({ version, dispatchers }: Roster): boolean => {
    const addresses = describeAddresses(dispatchers);
    if (addresses === knownAddresses) return false;
    knownAddresses = addresses;
    list = {
      version,
      dispatchers: dispatchers.map(({ dispatcherId, address, processors }) => ({
        dispatcherId,
        address,
        ...(processors === undefined ? {} : { processors }),
      })),
    };
    return true;
  };

  update(roster.current());
  return {
    current: () => list,
    subscribe: listChanged =>
      roster.subscribe(changed => {
        if (update(changed)) listChanged();
      }),
  };
}

function describeAddresses(dispatchers: readonly KnownDispatcher[]): string {
  return dispatchers
    .map(
      ({ dispatcherId, address, processors }) =>
        `${dispatcherId} ${formatAddress(address)} ${String(processors)}`,
    )
    .sort()
    .join('\n');
}
