/**
 * The administration calls and replies, also the messages in which replicas forward them to the
 * leader.
 */
import type {
  ConfirmRequest,
  ConfirmView,
  EvacuationOrderView,
  EvacuationsView,
  HistoryView,
  PlanView,
  RefusalView,
  StatusView,
} from '@cranberryturn/configuration';
import type { EvacuationOrder, Publication } from '@cranberryturn/types';

/** The kinds of call. */
export enum AdministrationMethod {
  Plan = 'plan',
  Confirm = 'confirm',
  Status = 'status',
  History = 'history',
  /** Puts a whole configuration document in force, without a plan. */
  Publish = 'publish',
  ReadPublication = 'read-publication',
  /** Evacuates a data centre, or withdraws its evacuation. */
  OrderEvacuation = 'order-evacuation',
  ListEvacuations = 'list-evacuations',
}

/** A call of an authenticated operator. */
export type AdministrationCall =
  | {
      readonly method: AdministrationMethod.Plan;
      /** The intent as received, not validated yet. */
      readonly input: unknown;
    }
  | {
      readonly method: AdministrationMethod.Confirm;
      readonly request: ConfirmRequest;
    }
  | { readonly method: AdministrationMethod.Status }
  | {
      readonly method: AdministrationMethod.History;
      /** Maximum number of changes in the answer, newest first. */
      readonly limit: number;
    }
  | {
      readonly method: AdministrationMethod.Publish;
      readonly publication: Publication;
    }
  | { readonly method: AdministrationMethod.ReadPublication }
  | {
      readonly method: AdministrationMethod.OrderEvacuation;
      readonly order: EvacuationOrder;
      /** Identifies the call of the operator in log lines. */
      readonly requestId: string;
    }
  | { readonly method: AdministrationMethod.ListEvacuations };

/** The kinds of reply. */
export enum AdministrationReplyKind {
  Done = 'done',
  /** Another change was accepted first; nothing was changed. */
  Conflict = 'conflict',
  /** The call is not valid; nothing was changed. */
  Invalid = 'invalid',
  /**
   * No leader settled the call. A confirm may still be accepted: retry with the same request
   * identifier.
   */
  Unavailable = 'unavailable',
}

/** The reply to a call. */
export type AdministrationReply =
  | {
      readonly kind: AdministrationReplyKind.Done;
      readonly view:
        | PlanView
        | ConfirmView
        | StatusView
        | HistoryView
        | Publication
        | EvacuationOrderView
        | EvacuationsView;
    }
  | {
      readonly kind: Exclude<
        AdministrationReplyKind,
        AdministrationReplyKind.Done
      >;
      readonly refusal: RefusalView;
    };
