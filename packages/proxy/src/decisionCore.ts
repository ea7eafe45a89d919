/** The interface of a decision core as used by the shell. `ProxyCore` of the state package implements it. */
import type { Milliseconds } from '@nutmegcourse/shared'
import type { ProxyEffect, ProxyMessage } from '@nutmegcourse/state'

export interface DecisionCore {
  handle(message: ProxyMessage, now: Milliseconds): readonly ProxyEffect[]
  /** When to send the next `tick`; null if nothing is scheduled. */
  nextWake(now: Milliseconds): Milliseconds | null
}
