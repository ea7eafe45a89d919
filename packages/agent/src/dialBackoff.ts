/** Exponential backoff for dialing hosts that could not be reached. */
import type { EntryHostId, Milliseconds } from '@nutmegcourse/shared'

const INITIAL_DELAY_MILLISECONDS = 250
const MAX_DELAY_MILLISECONDS = 4000

interface Backoff {
  readonly until: Milliseconds
  readonly delayMilliseconds: number
}

export class DialBackoff {
  readonly #backoffs = new Map<EntryHostId, Backoff>()

  mayDial(host: EntryHostId, now: Milliseconds): boolean {
    const backoff = this.#backoffs.get(host)
    return backoff === undefined || now >= backoff.until
  }

  failed(host: EntryHostId, now: Milliseconds): void {
    const previous = this.#backoffs.get(host)?.delayMilliseconds ?? INITIAL_DELAY_MILLISECONDS / 2
    const delayMilliseconds = Math.min(previous * 2, MAX_DELAY_MILLISECONDS)
    this.#backoffs.set(host, {
      until: (now + delayMilliseconds) as Milliseconds,
      delayMilliseconds,
    })
  }

  succeeded(host: EntryHostId): void {
    this.#backoffs.delete(host)
  }
}
