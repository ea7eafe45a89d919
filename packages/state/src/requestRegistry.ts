/**
 * Registry of all requests without a final answer; requests are finished only here.
 *
 * @internal
 */
import { REASONS, type Reason, type RequestId } from '@nutmegcourse/shared'
import type { EffectSink } from './effectSink.js'
import type { ProxyRequest } from './proxyRequest.js'

export interface RefusalDetails {
  readonly detail?: string
  readonly retryAfterMilliseconds?: number
}

export class RequestRegistry {
  readonly #requests = new Map<RequestId, ProxyRequest>()
  readonly #effects: EffectSink

  constructor(effects: EffectSink) {
    this.#effects = effects
  }

  get size(): number {
    return this.#requests.size
  }

  add(request: ProxyRequest): void {
    this.#requests.set(request.id, request)
  }

  get(id: RequestId): ProxyRequest | undefined {
    return this.#requests.get(id)
  }

  /** Removes a request that needs no further answer. */
  finish(request: ProxyRequest): void {
    request.phase = 'finished'
    this.#requests.delete(request.id)
  }

  /**
   * Refuses the request as its final answer. After a broken attempt of a write that was then sent
   * again, a reason that means "not run" would be untrue whatever stopped the second attempt, so
   * the refusal states that the outcome is unknown.
   */
  refuse(request: ProxyRequest, wanted: Reason, details: RefusalDetails = {}): void {
    const untrue = request.mayHaveRun && REASONS[wanted].kind === 'notRun'
    const reason: Reason = untrue ? 'connection_lost' : wanted
    this.finish(request)
    this.#effects.refuse(request.id, { reason, ...details }, request.classState.tags)
  }
}
