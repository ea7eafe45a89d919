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

/** A host of the zone that can forward changes of the store. */
export interface ChangeFeedSource {
  readonly name: string
  /** Null when no response arrived within `limit` milliseconds. */
  requestChanges(question: ChangeFeedRequest, limit: number): Promise<ChangeFeedResponse | null>
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

export class ChangeFeedReader {
  readonly #context: HostContext
  readonly #sources: ChangeFeedSources
  readonly #skipped: Backoffs<string>

  constructor(context: HostContext, peers: ChangeFeedSources) {
    this.#context = context
    this.#sources = peers
    this.#skipped = new Backoffs(context.clock)
  }

  /** Whether some host of the zone can be asked for changes. */
  get hasSource(): boolean {
    return this.#nextSource() !== undefined
  }

  /** The changes after a revision; null when no host of the zone can provide them. */
  async watch(question: ChangeFeedRequest): Promise<ReceivedChanges | null> {
    for (;;) {
      const peer = this.#nextSource()
      if (peer === undefined) return null
      const askedAt = this.#context.clock.now()
      const limit = question.wait + ANSWER_ALLOWANCE_MILLISECONDS
      const answer = await peer.requestChanges(question, limit)
      if (answer?.kind === 'news' && answer.revision >= question.after) return read(answer, askedAt)
      this.#skip(peer.name, reasonOf(answer))
      // The timeout has used up the wait, so no other host is tried.
      if (answer === null) return null
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
    events: { changes: answer.changes.map(readFeedChange), revision },
    madeSince: addMilliseconds(sentAt, -madeAgo),
    knownAt: addMilliseconds(sentAt, -knownAgo),
  }
}

/** A response of an older revision than this host's comes from a host that lags or was paused. */
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
