/** A list whose members leave from any place in constant time. */

/** The place of a value in a list. */
export interface ListNode<Value> {
  readonly value: Value;
  list: LinkedList<Value> | undefined;
  previous: ListNode<Value> | undefined;
  next: ListNode<Value> | undefined;
}

/** Creates the node with which a value enters lists, one at a time. */
export function createListNode<Value>(value: Value): ListNode<Value> {
  return { value, list: undefined, previous: undefined, next: undefined };
}

/** A doubly linked list. */
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

/** Takes a node out of its list, if it is in one. */
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
