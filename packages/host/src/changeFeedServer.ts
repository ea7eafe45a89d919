/**
 * The serving side of the change feed: forwards changes of the store to the hosts of the zone that watch the
 * store through this one.
 *
 * @internal
 */
import { addMilliseconds, milliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { DirectoryEvents } from '@nutmegcourse/protocol'
import { DirectoryHistory, type DatedChanges } from '@nutmegcourse/state'
import type { HostContext } from './hostContext.js'
import type { ChangeFeedResponse, ChangeFeedRequest } from './changeFeedMessages.js'
import { ChangePacker, type SentChanges } from './packedChanges.js'
import { Signal } from './waiting.js'

/** How long a host counts as a reader after its last request; longer than any interval between two of its requests. */
const READER_ACTIVE_MILLISECONDS = 5000

/**
 * How long `isAwaited` of a request holds. Equals the batching interval; a host whose requests still wait repeats it in
 * its next request.
 */
const REQUESTS_WAITING_MILLISECONDS = 1000

/** Age of a response: it includes everything up to `knownAt`, and no change in it is older than `madeSince`. */
export interface ChangeAge {
  readonly knownAt: Milliseconds
  readonly madeSince: Milliseconds
}

export class ChangeFeedServer {
  readonly #context: HostContext
  readonly #history = new DirectoryHistory()
  readonly #changed = new Signal()
  readonly #packer = new ChangePacker()
  #knownAt = milliseconds(0)
  /** This host watches the store itself, and its last call succeeded. */
  #isServing = false
  #isStopped = false
  #lastReadAt = Number.NEGATIVE_INFINITY
  #lastAwaitedAt = Number.NEGATIVE_INFINITY

  constructor(context: HostContext) {
    this.#context = context
  }

  /** Whether other hosts rely on this one for changes. */
  get hasReaders(): boolean {
    return this.#context.clock.now() - this.#lastReadAt < READER_ACTIVE_MILLISECONDS
  }

  /** Whether requests at one of those hosts wait for a change. */
  get isAwaited(): boolean {
    return this.#context.clock.now() - this.#lastAwaitedAt < REQUESTS_WAITING_MILLISECONDS
  }

  /** Replaces the history by a complete list, which was requested at `askedAt`. */
  takeList({ changes, revision }: DirectoryEvents, askedAt: Milliseconds): void {
    this.#history.reset(changes, revision, askedAt)
    this.#serve(askedAt)
  }

  /** Adds changes that this host received from the store itself. */
  takeFromStore(events: DirectoryEvents, age: ChangeAge): void {
    this.#history.append(events.changes, events.revision, age.madeSince)
    this.#serve(age.knownAt)
  }

  /** Adds changes forwarded by another host: kept, so that this host can take over from it, but not forwarded. */
  takeFromHost(events: DirectoryEvents, age: ChangeAge): void {
    this.#history.append(events.changes, events.revision, age.madeSince)
    this.suspend()
  }

  /** Declines all pending and later requests: this host is stopping. */
  stop(): void {
    this.#isStopped = true
    this.suspend()
  }

  /** Declines pending and later requests until the store answers again. */
  suspend(): void {
    this.#isServing = false
    this.#changed.raise()
  }

  async answer(request: ChangeFeedRequest): Promise<ChangeFeedResponse> {
    const { after, wait, isAwaited } = request
    const { clock } = this.#context
    const askedAt = clock.now()
    this.#lastReadAt = askedAt
    if (isAwaited) this.#lastAwaitedAt = askedAt
    const until = addMilliseconds(askedAt, wait)
    for (;;) {
      const found = this.#isServing ? this.#history.changesAfter(after) : null
      if (found === null) return { kind: 'declined' }
      const now = clock.now()
      if (found.isWhole || found.changes.length > 0 || now >= until) {
        return {
          kind: 'news',
          isWhole: found.isWhole,
          changes: this.#sent(request, found),
          revision: this.#history.revision,
          madeAgo: now - (found.madeSince ?? now),
          knownAgo: now - this.#knownAt,
          waited: now - askedAt,
        }
      }
      await this.#changed.wait(until - now)
    }
  }

  #sent({ after, acceptsPacked }: ChangeFeedRequest, found: DatedChanges): SentChanges {
    if (acceptsPacked !== true) return found.changes
    const question = found.isWhole ? 'whole' : String(after)
    return this.#packer.pack(found.changes, this.#history.revision, question)
  }

  #serve(knownAt: Milliseconds): void {
    this.#knownAt = knownAt
    this.#isServing = !this.#isStopped
    this.#changed.raise()
  }
}
