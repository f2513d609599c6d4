/** A manual clock that runs timers synchronously in order of due time, without awaiting promises. */
import type { TimerService, TimerSubscription } from '@cranberryturn/timers';
import type { Milliseconds } from '@cranberryturn/types';

interface ClockEvent {
  readonly order: number;
  readonly callback: () => void;
  readonly period: Milliseconds | undefined;
  due: Milliseconds;
  cancelled: boolean;
}

/** A clock that its owner advances. */
export interface EventClock extends TimerService {
  /** Runs all timers due at or before `end`, then sets the clock to `end`. */
  runUntil(end: Milliseconds): void;
}

/** Creates a clock at time zero. Timers due at the same time run in the order of their creation. */
export function createEventClock(): EventClock {
  const heap: ClockEvent[] = [];
  let now: Milliseconds = 0;
  let nextOrder = 0;

  const schedule = (
    delay: Milliseconds,
    callback: () => void,
    period: Milliseconds | undefined,
  ): TimerSubscription => {
    const due = now + Math.max(0, delay);
    const order = nextOrder++;
    const event: ClockEvent = {
      order,
      callback,
      period,
      due,
      cancelled: false,
    };
    pushEvent(heap, event);
    return {
      cancel: () => {
        event.cancelled = true;
      },
    };
  };

  const runEvent = (event: ClockEvent): void => {
    if (event.cancelled) return;
    now = event.due;
    if (event.period !== undefined) {
      event.due += event.period;
      pushEvent(heap, event);
    }
    event.callback();
  };

  return {
    now: () => now,
    wallClock: () => now,
    after: (delay, callback) => schedule(delay, callback, undefined),
    afterPendingEvents: callback => schedule(0, callback, undefined),
    every: (period, callback) => schedule(period, callback, period),
    runUntil: end => {
      for (;;) {
        const first = heap[0];
        if (first === undefined || first.due > end) break;
        popEvent(heap);
        runEvent(first);
      }
      now = end;
    },
  };
}

function comesBefore(left: ClockEvent, right: ClockEvent): boolean {
  if (left.due !== right.due) return left.due < right.due;
  return left.order < right.order;
}

function pushEvent(heap: ClockEvent[], event: ClockEvent): void {
  let position = heap.length;
  heap.push(event);
  while (position > 0) {
    const parentPosition = (position - 1) >> 1;
    const parent = heap[parentPosition];
    if (parent === undefined || !comesBefore(event, parent)) break;
    heap[position] = parent;
    position = parentPosition;
  }
  heap[position] = event;
}

function popEvent(heap: ClockEvent[]): void {
  const last = heap.pop();
  if (last === undefined || heap.length === 0) return;
  let position = 0;
  for (;;) {
    const child = findEarlierChild(heap, position);
    const event = heap[child];
    if (event === undefined || !comesBefore(event, last)) break;
    heap[position] = event;
    position = child;
  }
  heap[position] = last;
}

function findEarlierChild(
  heap: readonly ClockEvent[],
  position: number,
): number {
  const left = position * 2 + 1;
  const leftEvent = heap[left];
  const rightEvent = heap[left + 1];
  if (leftEvent === undefined || rightEvent === undefined) return left;
  return comesBefore(rightEvent, leftEvent) ? left + 1 : left;
}
