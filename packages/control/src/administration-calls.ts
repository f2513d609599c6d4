/** The calls of operators, as they pass between the replicas of control. */
import type {
  ConfirmRequest,
  ConfirmView,
  HistoryView,
  PlanView,
  RefusalView,
  StatusView,
} from '@cranberryturn/configuration';
import type { Publication } from '@cranberryturn/types';

/** The kinds of call. */
export enum AdministrationMethod {
  Plan = 'plan',
  Confirm = 'confirm',
  Status = 'status',
  History = 'history',
  /** Puts a whole configuration in force, without a plan. */
  Publish = 'publish',
  ReadPublication = 'read-publication',
}

/** A call of an operator whose token was checked. */
export type AdministrationCall =
  | {
      readonly method: AdministrationMethod.Plan;
      /** The intent as it came; not checked yet. */
      readonly input: unknown;
    }
  | {
      readonly method: AdministrationMethod.Confirm;
      readonly request: ConfirmRequest;
    }
  | { readonly method: AdministrationMethod.Status }
  | {
      readonly method: AdministrationMethod.History;
      /** Most changes in the answer. */
      readonly limit: number;
    }
  | {
      readonly method: AdministrationMethod.Publish;
      readonly publication: Publication;
    }
  | { readonly method: AdministrationMethod.ReadPublication };

/** The kinds of reply. */
export enum AdministrationReplyKind {
  Done = 'done',
  /** Another change won. */
  Conflict = 'conflict',
  /** The call is not valid; nothing was changed. */
  Invalid = 'invalid',
  /** No leader could settle the call; a confirm may still be accepted. Ask again with the same request identifier. */
  Unavailable = 'unavailable',
}

/** The answer to a call. */
export type AdministrationReply =
  | {
      readonly kind: AdministrationReplyKind.Done;
      readonly view:
        PlanView | ConfirmView | StatusView | HistoryView | Publication;
    }
  | {
      readonly kind: Exclude<
        AdministrationReplyKind,
        AdministrationReplyKind.Done
      >;
      readonly refusal: RefusalView;
    };
