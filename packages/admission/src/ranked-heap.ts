/** A binary heap with removal of any member and changes of rank in logarithmic time. */

/** Node of a value, in at most one heap at a time. */
export interface HeapNode<Value> {
  readonly value: Value;
  /** Sort key; the lowest rank comes first. */
  rank: number;
  /** Tie-break among equal ranks, lowest first; 0 until set by the owner. */
  sequenceNumber: number;
  heap: RankedHeap<Value> | undefined;
  position: number;
}

/** Creates a node that is in no heap. */
export function createHeapNode<Value>(value: Value): HeapNode<Value> {
  return { value, rank: 0, sequenceNumber: 0, heap: undefined, position: -1 };
}

/** A binary heap by rank. A node that is added leaves its previous heap. */
export class RankedHeap<Value> {
  readonly #nodes: HeapNode<Value>[] = [];

  get first(): HeapNode<Value> | undefined {
    return this.#nodes[0];
  }

  get length(): number {
    return this.#nodes.length;
  }

  add(node: HeapNode<Value>): void {
    removeFromHeap(node);
    node.heap = this;
    node.position = this.#nodes.length;
    this.#nodes.push(node);
    this.#siftUp(node);
  }

  /** Restores the order. Must be called after the rank of a member has changed. */
  update(node: HeapNode<Value>): void {
    this.#siftUp(node);
    this.#siftDown(node);
  }

  remove(node: HeapNode<Value>): void {
    const last = this.#nodes.pop();
    if (last !== undefined && last !== node) {
      this.#placeNode(last, node.position);
      this.update(last);
    }
    node.heap = undefined;
    node.position = -1;
  }

  #siftUp(node: HeapNode<Value>): void {
    while (node.position > 0) {
      const parent = this.#nodes[(node.position - 1) >> 1];
      if (parent === undefined || !comesBefore(node, parent)) return;
      this.#swap(node, parent);
    }
  }

  #siftDown(node: HeapNode<Value>): void {
    for (;;) {
      const left = this.#nodes[2 * node.position + 1];
      const right = this.#nodes[2 * node.position + 2];
      if (left === undefined) return;
      const child =
        right !== undefined && comesBefore(right, left) ? right : left;
      if (!comesBefore(child, node)) return;
      this.#swap(node, child);
    }
  }

  #swap(one: HeapNode<Value>, other: HeapNode<Value>): void {
    const { position } = one;
    this.#placeNode(one, other.position);
    this.#placeNode(other, position);
  }

  #placeNode(node: HeapNode<Value>, position: number): void {
    node.position = position;
    this.#nodes[position] = node;
  }
}

/** Removes a node from its heap; does nothing when the node is in none. */
export function removeFromHeap<Value>(node: HeapNode<Value>): void {
  node.heap?.remove(node);
}

function comesBefore<Value>(
  one: HeapNode<Value>,
  other: HeapNode<Value>,
): boolean {
  if (one.rank !== other.rank) return one.rank < other.rank;
  return one.sequenceNumber < other.sequenceNumber;
}
