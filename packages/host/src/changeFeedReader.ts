/**
 * The reading side of the change feed: watches the store through another host of the zone.
 *
 * @internal
 */
import { addMilliseconds, type Milliseconds } from '@nutmegcourse/shared'
import type { DirectoryEvents } from '@nutmegcourse/protocol'
import type { HostContext } from './hostContext.js'
import type { ChangeAge } from './changeFeedServer.js'
import {
  readFeedChange,
  type ChangeFeedResponse,
  type ChangeFeedRequest,
  type ChangeFeedUpdate,
} from './changeFeedMessages.js'
import { Backoffs } from './backoffs.js'
import { unpackChanges } from './packedChanges.js'
import { sleep } from './waiting.js'

/** A host of the zone that can forward changes of the store. */
export interface ChangeFeedSource {
  readonly name: string
  /** Null when the host cannot be reached or did not respond within `limit` milliseconds. */
  requestChanges(request: ChangeFeedRequest, limit: number): Promise<ChangeFeedResponse | null>
}

export interface ChangeFeedSources {
  /** The hosts to request changes from, in order of preference; empty when this host watches the store itself. */
  changeFeedSources(): readonly ChangeFeedSource[]
}

export interface ReceivedChanges extends ChangeAge {
  readonly events: DirectoryEvents
  /** The response is a complete list: what it does not name does not exist. */
  readonly isWhole: boolean
}

/** Allowance for the network within a zone and for a busy host, beyond the requested wait. */
const ANSWER_ALLOWANCE_MILLISECONDS = 300

/** How long a host is skipped after it declined, timed out or sent an outdated response. */
const SKIP_MILLISECONDS = 2000

/** Interval at which hosts of the zone are asked for a list until one of them has it. */
const LIST_RETRY_MILLISECONDS = 50

/** No store has a revision below 1, so the answer is a complete list. */
const WHOLE_LIST: ChangeFeedRequest = {
  after: 0,
  wait: 0,
  isAwaited: true,
  acceptsPacked: true,
}

export class ChangeFeedReader {
  readonly #context: HostContext
  readonly #sources: ChangeFeedSources
  readonly #skipped: Backoffs<string>

  constructor(context: HostContext, sources: ChangeFeedSources) {
    this.#context = context
    this.#sources = sources
    this.#skipped = new Backoffs(context.clock)
  }

  /** Whether some host of the zone can be asked for changes. */
  get hasSource(): boolean {
    return this.#nextSource() !== undefined
  }

  /** The changes after a revision; null when no host of the zone can provide them. */
  async watch(request: ChangeFeedRequest): Promise<ReceivedChanges | null> {
    for (;;) {
      const source = this.#nextSource()
      if (source === undefined) return null
      const askedAt = this.#context.clock.now()
      const limit = request.wait + ANSWER_ALLOWANCE_MILLISECONDS
      const answer = await source.requestChanges({ ...request, acceptsPacked: true }, limit)
      if (answer?.kind === 'news' && answer.revision >= request.after) return read(answer, askedAt)
      this.#skip(source.name, reasonOf(answer))
      // The wait is usually used up by then, so no other host is tried.
      if (answer === null) return null
    }
  }

  /**
   * Everything that the store holds, as a host of the zone knows it by `until`; null if there is no other host to ask.
   * A host that starts at the same time declines until it has read the list itself, so it is asked again.
   */
  async list(until: Milliseconds): Promise<ReceivedChanges | null> {
    const { clock } = this.#context
    for (;;) {
      for (const source of this.#sources.changeFeedSources()) {
        const askedAt = clock.now()
        const answer = await source.requestChanges(WHOLE_LIST, ANSWER_ALLOWANCE_MILLISECONDS)
        if (answer?.kind === 'news' && answer.isWhole) return read(answer, askedAt)
      }
      const isOver = clock.now() >= until || this.#sources.changeFeedSources().length === 0
      if (isOver) return null
      await sleep(LIST_RETRY_MILLISECONDS)
    }
  }

  #nextSource(): ChangeFeedSource | undefined {
    return this.#sources
      .changeFeedSources()
      .find(({ name }) => this.#skipped.remainingMilliseconds(name) === 0)
  }

  #skip(host: string, reason: string): void {
    this.#skipped.begin(host, SKIP_MILLISECONDS)
    this.#context.log.write('news_not_told', { host, reason })
  }
}

function read(answer: ChangeFeedUpdate, askedAt: Milliseconds): ReceivedChanges {
  const { isWhole, revision, madeAgo, knownAgo, waited } = answer
  const sentAt = addMilliseconds(askedAt, waited)
  return {
    isWhole,
    events: { changes: unpackChanges(answer.changes).map(readFeedChange), revision },
    madeSince: addMilliseconds(sentAt, -madeAgo),
    knownAt: addMilliseconds(sentAt, -knownAgo),
  }
}

/** Why a host is skipped. `behind`: it lags or was paused, since its revision is older than this host's. */
function reasonOf(answer: ChangeFeedResponse | null): string {
  switch (answer?.kind) {
    case undefined:
      return 'noAnswer'
    case 'declined':
      return 'declined'
    case 'news':
      return 'behind'
  }
}
