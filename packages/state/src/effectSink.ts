/**
 * Collects the effects that one message produces.
 *
 * @internal
 */
import {
  refusalCounter,
  type CounterName,
  type Refusal,
  type RequestId,
} from '@nutmegcourse/shared'
import type { ProxyEffect } from './proxyMessages.js'

type Tags = Readonly<Record<string, string>>

export class EffectSink {
  #effects: ProxyEffect[] = []

  push(effect: ProxyEffect): void {
    this.#effects.push(effect)
  }

  count(counter: CounterName, tags: Tags): void {
    this.#effects.push({ kind: 'count', counter, tags })
  }

  /** Adds a refusal and increments its counter, `refusal.<reason>`. */
  refuse(request: RequestId, refusal: Refusal, tags: Tags): void {
    this.#effects.push({ kind: 'refuse', request, refusal })
    this.count(refusalCounter(refusal.reason), tags)
  }

  take(): readonly ProxyEffect[] {
    const effects = this.#effects
    this.#effects = []
    return effects
  }
}
