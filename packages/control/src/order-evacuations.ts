/** Takes evacuation orders of operators at one replica, and passes them on to the leader. */
import type { EvacuationOrderView } from '@cranberryturn/configuration';
import type { Logger } from '@cranberryturn/logger';
import { sleep, type TimerService } from '@cranberryturn/timers';
import {
  type DataCentreName,
  isEvacuated,
  type LogIndex,
  type Milliseconds,
  type ReplicaId,
} from '@cranberryturn/types';

import { composeRefusal } from './administer-control.js';
import {
  type AdministrationCall,
  AdministrationMethod,
  type AdministrationReply,
  AdministrationReplyKind,
} from './administration-calls.js';
import type { ControlState } from './control-state.js';

/**
 * Time for which an order waits before it is proposed. A caller that gave up an order closes its
 * connection; the order may still be delivered late, just before the close.
 */
const holdMilliseconds: Milliseconds = 50;
const requestIdRadix = 36;

/** The call of an operator. */
export interface EvacuationRequest {
  readonly dataCentre: DataCentreName;
  /** False withdraws the evacuation. */
  readonly isEvacuated: boolean;
  /** Aborted when the connection of the caller closes. */
  readonly callerLeft: AbortSignal;
}

/** Evacuations as operators order and read them at one replica. */
export interface EvacuationService {
  /**
   * Replies `Done` once a majority has synced the order, `Invalid` for a data centre that the
   * settings do not name, unless it is the withdrawal of its evacuation, and otherwise `Unavailable`.
   */
  order(request: EvacuationRequest): Promise<AdministrationReply>;
  list(): Promise<AdministrationReply>;
}

/** Dependencies of the service. */
export interface EvacuationServiceOptions {
  /** The data centres that operators may evacuate; undefined disables evacuations. */
  readonly dataCentres?: readonly DataCentreName[] | undefined;
  readonly replicaId: ReplicaId;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly state: Pick<ControlState, 'evacuations'>;
  /** Index of the last entry that this replica has applied. */
  readonly appliedIndex: () => LogIndex;
  /** Executes a call at the leader, forwarded if necessary. */
  readonly administer: (
    call: AdministrationCall,
  ) => Promise<AdministrationReply>;
}

/** Creates the service of a replica; undefined while evacuations are disabled. */
export function createEvacuationService(
  options: EvacuationServiceOptions,
): EvacuationService | undefined {
  const { timers, logger, administer, dataCentres } = options;
  if (dataCentres === undefined) return undefined;
  let orders = 0;

  const createRequestId = (): string => {
    orders += 1;
    const start = Math.floor(timers.wallClock()).toString(requestIdRadix);
    return `${options.replicaId}-${start}-${String(orders)}`;
  };

  return {
    list: () => administer({ method: AdministrationMethod.ListEvacuations }),
    order: async request => {
      const receivedAt = timers.now();
      const requestId = createRequestId();
      const { dataCentre } = request;
      const knownIndex = options.appliedIndex();
      const details = {
        requestId,
        dataCentre,
        isEvacuated: request.isEvacuated,
      };
      logger.info('evacuation order received', {
        ...details,
        knownVersion: options.state.evacuations.state.version,
      });
      const reply =
        (await refuseOrder(options, dataCentres, request)) ??
        (await administer({
          method: AdministrationMethod.OrderEvacuation,
          order: { dataCentre, isEvacuated: request.isEvacuated, knownIndex },
          requestId,
        }));
      logReply(logger, reply, {
        ...details,
        ageMilliseconds: Math.round(timers.now() - receivedAt),
      });
      return reply;
    },
  };
}

/**
 * Refuses an unknown data centre, and an order whose caller left during the hold. An evacuation can be
 * withdrawn after its data centre was removed from the settings; its workers would stay closed otherwise.
 */
async function refuseOrder(
  { state, timers }: EvacuationServiceOptions,
  dataCentres: readonly DataCentreName[],
  request: EvacuationRequest,
): Promise<AdministrationReply | undefined> {
  const { dataCentre, callerLeft } = request;
  const current = state.evacuations.state;
  const isWithdrawal = !request.isEvacuated && isEvacuated(current, dataCentre);
  if (!dataCentres.includes(dataCentre) && !isWithdrawal) {
    return composeRefusal(
      AdministrationReplyKind.Invalid,
      `The settings name no data centre "${dataCentre}", only: ${dataCentres.join(', ')}. Nothing was changed.`,
    );
  }
  if (isEvacuated(current, dataCentre) === request.isEvacuated) {
    return undefined;
  }
  await sleep(timers, holdMilliseconds);
  if (!callerLeft.aborted) return undefined;
  return composeRefusal(
    AdministrationReplyKind.Unavailable,
    'The caller closed the connection before the order was proposed. Nothing was changed.',
  );
}

function logReply(
  logger: Logger,
  reply: AdministrationReply,
  details: object,
): void {
  if (reply.kind === AdministrationReplyKind.Done) {
    const { version, changed } = reply.view as EvacuationOrderView;
    logger.info('evacuation order acknowledged', {
      ...details,
      version,
      changed,
    });
    return;
  }
  logger.info('evacuation order refused', {
    ...details,
    reason: reply.refusal.error,
  });
}
