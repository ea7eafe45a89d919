/**
 * What this host knows of the store: as of when it knew all of it, from whom, and which configuration is in force. A
 * host whose knowledge is older than the bound of a configuration cannot tell whether a newer one was confirmed.
 *
 * @internal
 */
import { milliseconds, type Clock, type Milliseconds } from '@nutmegcourse/shared'

export type KnowledgeSource =
  /** Nothing was learned yet. */
  | { readonly kind: 'none' }
  | { readonly kind: 'store' }
  | { readonly kind: 'host'; readonly host: string }

/** The fields of a log line about a decision that rests on the configuration. */
export interface KnowledgeDescription {
  readonly version: number | null
  readonly revision: number | null
  readonly source: string
  /** Null before the first list. */
  readonly knownMilliseconds: number | null
}

export class StoreKnowledge {
  readonly #clock: Clock
  readonly #boundMilliseconds: number
  #knownAt: Milliseconds | null = null
  #revision: number | null = null
  #source: KnowledgeSource = { kind: 'none' }
  #version: number | null = null
  /** The newest configuration cannot be read, so that an older one is in force. */
  #isUnreadable = false

  /** `boundMilliseconds`: the time within which a confirmed configuration must be in force. */
  constructor(clock: Clock, boundMilliseconds: number) {
    this.#clock = clock
    this.#boundMilliseconds = boundMilliseconds
  }

  /** The time as of which the whole content of the store is known; null before the first list. */
  get knownAt(): Milliseconds | null {
    return this.#knownAt
  }

  /** Never goes back: an answer that was under way for longer says less than what is known. */
  learned(knownAt: Milliseconds, revision: number, source: KnowledgeSource): void {
    this.#knownAt = milliseconds(Math.max(knownAt, this.#knownAt ?? knownAt))
    this.#revision = revision
    this.#source = source
  }

  configured(version: number): void {
    this.#version = version
    this.#isUnreadable = false
  }

  configurationUnreadable(): void {
    this.#isUnreadable = true
  }

  get version(): number | null {
    return this.#version
  }

  get ageMilliseconds(): number {
    return this.#knownAt === null ? Number.POSITIVE_INFINITY : this.#clock.now() - this.#knownAt
  }

  /** Whether every configuration that has to be in force by now is known. */
  get isConfirmed(): boolean {
    return !this.#isUnreadable && this.ageMilliseconds <= this.#boundMilliseconds
  }

  get sourceName(): string {
    return this.#source.kind === 'host' ? this.#source.host : this.#source.kind
  }

  describe(): KnowledgeDescription {
    const age = this.ageMilliseconds
    return {
      version: this.#version,
      revision: this.#revision,
      source: this.sourceName,
      knownMilliseconds: Number.isFinite(age) ? Math.round(age) : null,
    }
  }
}
