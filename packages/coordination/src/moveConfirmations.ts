/** Which entry hosts have reported that their proxies hold their writes for one planned move. */
import type { AttemptId, EntryHostId, Milliseconds } from '@nutmegcourse/shared'

export class MoveConfirmations {
  readonly #attempt: AttemptId
  readonly #confirmed = new Set<EntryHostId>()
  /** The hosts whose proxies may write; null while the membership is not known. */
  #writers: readonly EntryHostId[] | null
  /** Those of them that were known when the move was announced; later ones start with its record. */
  #unconfirmed = new Set<EntryHostId>()
  #lastAt: Milliseconds | null = null

  constructor(attempt: AttemptId, writers: readonly EntryHostId[] | null) {
    this.#attempt = attempt
    this.#writers = writers
  }

  /** When the last report arrived; null before the first. */
  get lastAt(): Milliseconds | null {
    return this.#lastAt
  }

  /** The hosts that may still send writes: they have neither confirmed nor left. */
  get unconfirmed(): ReadonlySet<EntryHostId> {
    return this.#unconfirmed
  }

  /** Called when the move is announced: from then on the hosts are waited for. */
  startWaiting(): void {
    const hosts = this.#writers ?? []
    this.#unconfirmed = new Set(hosts.filter(host => !this.#confirmed.has(host)))
  }

  setWriters(writers: readonly EntryHostId[]): void {
    this.#writers = writers
    const live = new Set(writers)
    for (const host of this.#unconfirmed) if (!live.has(host)) this.#unconfirmed.delete(host)
  }

  /** A report on another attempt says nothing about this one. */
  receive(host: EntryHostId, attempt: AttemptId, now: Milliseconds): void {
    if (attempt !== this.#attempt || this.#confirmed.has(host)) return
    this.#confirmed.add(host)
    this.#unconfirmed.delete(host)
    this.#lastAt = now
  }
}
