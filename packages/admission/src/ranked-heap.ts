/** A heap whose members leave from any place, and move when their rank changes. */

/** The place of a value in a heap. */
export interface HeapNode<Value> {
  readonly value: Value;
  /** The lowest rank comes first. */
  rank: number;
  /** Among equal ranks the lowest comes first; 0 until it is set. */
  sequenceNumber: number;
  heap: RankedHeap<Value> | undefined;
  position: number;
}

/** Creates the node with which a value enters heaps, one at a time. */
export function createHeapNode<Value>(value: Value): HeapNode<Value> {
  return { value, rank: 0, sequenceNumber: 0, heap: undefined, position: -1 };
}

/** A binary heap. */
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

  /** Must be called after the rank of a member has changed. */
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

/** Takes a node out of its heap, if it is in one. */
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
