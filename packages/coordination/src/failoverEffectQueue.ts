/** Collects the effects of the failover machine's components, and issues call ids. */
import type { RandomSource } from '@nutmegcourse/shared'

import { callId, type CallId, type FailoverEffect } from './failoverMessages.js'

/** Small enough that ids counted up from any first value stay exact in a JavaScript number. */
const FIRST_CALL_ID_RANGE = 2 ** 48

export class FailoverEffectQueue {
  #effects: FailoverEffect[] = []
  #lastCallId: number

  /**
   * Call ids count up from a random number. Otherwise an answer to a call of an earlier machine on
   * this host could be taken for the answer to another call, whose own answer would then be ignored.
   */
  constructor(random: RandomSource) {
    this.#lastCallId = Math.floor(random.next() * FIRST_CALL_ID_RANGE)
  }

  emit(effect: FailoverEffect): void {
    this.#effects.push(effect)
  }

  /** A call id that this machine has not issued before. */
  nextCallId(): CallId {
    this.#lastCallId += 1
    return callId(this.#lastCallId)
  }

  /** Removes and returns the effects emitted since the last call. */
  takeAll(): readonly FailoverEffect[] {
    const taken = this.#effects
    this.#effects = []
    return taken
  }
}
