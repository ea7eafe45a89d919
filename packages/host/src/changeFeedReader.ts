/**
 * The reading side of the change feed: watches the store through another host, of the zone or, while the store does not
 * serve this host, of any zone.
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

/** A host that can forward changes of the store. */
export interface ChangeFeedSource {
  readonly name: string
  /** Null when the host cannot be reached or did not respond within `limit` milliseconds. */
  requestChanges(request: ChangeFeedRequest, limit: number): Promise<ChangeFeedResponse | null>
}

export interface ChangeFeedSources {
  /** The hosts to request changes from, in order of preference; empty when this host watches the store itself. */
  changeFeedSources(): readonly ChangeFeedSource[]
  /** All other hosts that follow the store, in order of preference. */
  otherSources(): readonly ChangeFeedSource[]
}

export interface ReceivedChanges extends ChangeAge {
  /** The host that sent them. */
  readonly from: string
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
    return this.#nextOf(this.#sources.changeFeedSources()) !== undefined
  }

  /** The changes after a revision; null when no host of the zone can provide them. */
  async watch(request: ChangeFeedRequest): Promise<ReceivedChanges | null> {
    for (;;) {
      const source = this.#nextOf(this.#sources.changeFeedSources())
      if (source === undefined) return null
      const answer = await this.#ask(source, request)
      // The wait is usually used up when no answer came, so no other host is tried.
      if (answer !== 'refused') return answer
    }
  }

  /** The same through a host of any zone; null when none of them can provide the changes now. */
  async watchElsewhere(request: ChangeFeedRequest): Promise<ReceivedChanges | null> {
    let { wait } = request
    for (;;) {
      const source = this.#nextOf(this.#sources.otherSources())
      if (source === undefined) return null
      const answer = await this.#ask(source, { ...request, wait })
      if (answer !== null && answer !== 'refused') return answer
      // Several hosts may be frozen, and this one has lost the time of one wait already.
      if (answer === null) wait = 0
    }
  }

  /** Null: no answer. */
  async #ask(
    source: ChangeFeedSource,
    request: ChangeFeedRequest,
  ): Promise<ReceivedChanges | 'refused' | null> {
    const askedAt = this.#context.clock.now()
    const limit = request.wait + ANSWER_ALLOWANCE_MILLISECONDS
    const answer = await source.requestChanges({ ...request, acceptsPacked: true }, limit)
    if (answer?.kind === 'news' && answer.revision >= request.after && this.#isRecent(answer)) {
      const received = read(answer, askedAt, source.name)
      if (received !== null) return received
      this.#skip(source.name, 'malformed')
      return 'refused'
    }
    this.#skip(source.name, reasonOf(answer, request.after))
    return answer === null ? null : 'refused'
  }

  /** A host that cannot tell itself which configuration is in force cannot tell others. */
  #isRecent({ knownAgo }: ChangeFeedUpdate): boolean {
    return knownAgo <= this.#context.settings.configurationMilliseconds
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
        if (answer?.kind !== 'news' || !answer.isWhole || !this.#isRecent(answer)) continue
        const received = read(answer, askedAt, source.name)
        if (received !== null) return received
        this.#skip(source.name, 'malformed')
      }
      const isOver = clock.now() >= until || this.#sources.changeFeedSources().length === 0
      if (isOver) return null
      await sleep(LIST_RETRY_MILLISECONDS)
    }
  }

  #nextOf(sources: readonly ChangeFeedSource[]): ChangeFeedSource | undefined {
    return sources.find(({ name }) => this.#skipped.remainingMilliseconds(name) === 0)
  }

  #skip(host: string, reason: string): void {
    this.#skipped.begin(host, SKIP_MILLISECONDS)
    this.#context.log.write('news_not_told', { host, reason })
  }
}

/** Null if its changes cannot be read. */
function read(
  answer: ChangeFeedUpdate,
  askedAt: Milliseconds,
  from: string,
): ReceivedChanges | null {
  const changes = unpackChanges(answer.changes)
  if (changes === null) return null
  const { isWhole, revision, madeAgo, knownAgo, waited } = answer
  const sentAt = addMilliseconds(askedAt, waited)
  return {
    from,
    isWhole,
    events: { changes: changes.map(readFeedChange), revision },
    madeSince: addMilliseconds(sentAt, -madeAgo),
    knownAt: addMilliseconds(sentAt, -knownAgo),
  }
}

/**
 * Why a host is skipped. `behind`: it lags or was paused, since its revision is older than this host's. `outdated`: its
 * knowledge of the store is older than the bound of a configuration.
 */
function reasonOf(answer: ChangeFeedResponse | null, after: number): string {
  switch (answer?.kind) {
    case undefined:
      return 'noAnswer'
    case 'declined':
      return 'declined'
    case 'news':
      return answer.revision < after ? 'behind' : 'outdated'
  }
}
