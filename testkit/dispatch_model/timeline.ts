/** Events in the order of their times. */
export class Timeline {
  nowMs = 0;
  readonly #heap: { readonly atMs: number; readonly run: () => void }[] = [];

  schedule(atMs: number, run: () => void): void {
    const heap = this.#heap;
    let index = heap.push({ atMs, run }) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (heap[parent]!.atMs <= heap[index]!.atMs) break;
      [heap[parent], heap[index]] = [heap[index]!, heap[parent]!];
      index = parent;
    }
  }

  runAll(): void {
    while (this.#heap.length > 0) {
      const { atMs, run } = this.#takeFirst();
      this.nowMs = atMs;
      run();
    }
  }

  #takeFirst() {
    const heap = this.#heap;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    heap[0] = last;
    for (let index = 0;;) {
      let least = index;
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < heap.length && heap[child]!.atMs < heap[least]!.atMs) {
          least = child;
        }
      }
      if (least === index) return first;
      [heap[least], heap[index]] = [heap[index]!, heap[least]!];
      index = least;
    }
  }
}
