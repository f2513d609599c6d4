/** The scheduler of one dispatcher: admission, placement, target health, retries and hedging. */
export * from './create-scheduler.js';
export * from './measure-scheduling.js';
export * from './ports/scheduler.js';
export type { SchedulerOptions } from './scheduler-context.js';
export type {
  BorrowReply,
  BorrowRequest,
  LimitUnits,
  ShareExchange,
  SharingDispatchers,
} from '@cranberryturn/admission';
