/** A map that forgets entries which are idle, so that it stays as small as the number of keys in use. */
import type { Milliseconds } from '@nutmegcourse/shared'

export interface MayBeIdle {
  /** Whether a new entry in its place would behave the same. */
  isIdle(now: Milliseconds): boolean
}

export class IdleMap<Key, Value extends MayBeIdle> {
  /** Least recently used first. */
  readonly #values = new Map<Key, Value>()

  get size(): number {
    return this.#values.size
  }

  use(key: Key, create: () => Value): Value {
    const value = this.#values.get(key) ?? create()
    this.#values.delete(key)
    this.#values.set(key, value)
    return value
  }

  clear(): void {
    this.#values.clear()
  }

  /** Forgets the least recently used entries, up to the first one that is not idle. */
  forgetIdle(now: Milliseconds): void {
    for (const [key, value] of this.#values) {
      if (!value.isIdle(now)) return
      this.#values.delete(key)
    }
  }
}
