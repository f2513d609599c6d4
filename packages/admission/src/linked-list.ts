/** A doubly linked list with removal of any member in constant time. */

/** Node of a value, in at most one list at a time. */
export interface ListNode<Value> {
  readonly value: Value;
  list: LinkedList<Value> | undefined;
  previous: ListNode<Value> | undefined;
  next: ListNode<Value> | undefined;
}

/** Creates a node that is in no list. */
export function createListNode<Value>(value: Value): ListNode<Value> {
  return { value, list: undefined, previous: undefined, next: undefined };
}

/** A doubly linked list. A node that is added leaves its previous list. */
export class LinkedList<Value> {
  first: ListNode<Value> | undefined;
  last: ListNode<Value> | undefined;
  length = 0;

  append(node: ListNode<Value>): void {
    removeFromList(node);
    node.list = this;
    node.previous = this.last;
    if (this.last === undefined) this.first = node;
    else this.last.next = node;
    this.last = node;
    this.length += 1;
  }

  prepend(node: ListNode<Value>): void {
    removeFromList(node);
    node.list = this;
    node.next = this.first;
    if (this.first === undefined) this.last = node;
    else this.first.previous = node;
    this.first = node;
    this.length += 1;
  }
}

/** Removes a node from its list; does nothing when the node is in none. */
export function removeFromList<Value>(node: ListNode<Value>): void {
  const { list, previous, next } = node;
  if (list === undefined) return;
  if (previous === undefined) list.first = next;
  else previous.next = next;
  if (next === undefined) list.last = previous;
  else next.previous = previous;
  list.length -= 1;
  node.list = undefined;
  node.previous = undefined;
  node.next = undefined;
}
