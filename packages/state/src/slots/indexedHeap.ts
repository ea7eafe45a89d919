/**
 * Binary heap whose items can be moved and deleted wherever they stand.
 *
 * @internal
 */

export class IndexedHeap<Item> {
  readonly #items: Item[] = []
  readonly #positions = new Map<Item, number>()
  readonly #compare: (left: Item, right: Item) => number

  constructor(compare: (left: Item, right: Item) => number) {
    this.#compare = compare
  }

  get size(): number {
    return this.#items.length
  }

  /** All items; only the first one stands at its place in the order. */
  get items(): readonly Item[] {
    return this.#items
  }

  has(item: Item): boolean {
    return this.#positions.has(item)
  }

  peek(): Item | null {
    return this.#items[0] ?? null
  }

  push(item: Item): void {
    if (this.#positions.has(item)) return
    this.#items.push(item)
    this.#moveUp(item, this.#items.length - 1)
  }

  pop(): Item | null {
    const first = this.peek()
    if (first !== null) this.delete(first)
    return first
  }

  /** To be called after a change to what an item is ordered by. */
  update(item: Item): void {
    const position = this.#positions.get(item)
    if (position === undefined) return
    this.#moveUp(item, position)
    this.#moveDown(item, this.#positions.get(item) ?? position)
  }

  delete(item: Item): boolean {
    const position = this.#positions.get(item)
    if (position === undefined) return false
    this.#positions.delete(item)
    const last = this.#items.pop()
    if (last !== undefined && last !== item) {
      this.#place(last, position)
      this.update(last)
    }
    return true
  }

  #moveUp(item: Item, start: number): void {
    let position = start
    while (position > 0) {
      const above = (position - 1) >> 1
      const parent = this.#items[above]
      if (parent === undefined || this.#compare(item, parent) >= 0) break
      this.#place(parent, position)
      position = above
    }
    this.#place(item, position)
  }

  #moveDown(item: Item, start: number): void {
    let position = start
    for (;;) {
      const below = this.#firstBelow(position)
      const child = this.#items[below]
      if (child === undefined || this.#compare(child, item) >= 0) break
      this.#place(child, position)
      position = below
    }
    this.#place(item, position)
  }

  #firstBelow(position: number): number {
    const below = 2 * position + 1
    const left = this.#items[below]
    const right = this.#items[below + 1]
    if (left === undefined || right === undefined) return below
    return this.#compare(right, left) < 0 ? below + 1 : below
  }

  #place(item: Item, position: number): void {
    this.#items[position] = item
    this.#positions.set(item, position)
  }
}
