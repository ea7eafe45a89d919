/**
 * State and collaborators shared by the components of one core.
 *
 * @internal
 */
import type { RandomSource } from '@nutmegcourse/shared'
import type { EffectSink } from './effectSink.js'
import { connectionId, type ConnectionId } from './proxyMessages.js'
import type { ProxyOptions } from './proxyOptions.js'
import type { RequestRegistry } from './requestRegistry.js'
import type { EntryHostCount } from './connectionShare.js'
import type { Moment } from './positionTracker.js'

export class CoreContext {
  readonly options: ProxyOptions
  readonly random: RandomSource
  readonly effects: EffectSink
  readonly requests: RequestRegistry
  readonly entryHosts: EntryHostCount
  /** Logical clock of the core; incremented by each message. */
  moment: Moment = 0
  /** Set by a `stop` message: new requests are refused. */
  stopping = false
  #lastConnection = 0

  constructor(
    options: ProxyOptions,
    random: RandomSource,
    effects: EffectSink,
    requests: RequestRegistry,
    entryHosts: EntryHostCount,
  ) {
    this.options = options
    this.random = random
    this.effects = effects
    this.requests = requests
    this.entryHosts = entryHosts
  }

  nextConnection(): ConnectionId {
    this.#lastConnection += 1
    return connectionId(this.#lastConnection)
  }
}
