/** The interface of a decision core as used by the shell. `ProxyCore` of the state package implements it. */
import type { Milliseconds, RequestId } from '@nutmegcourse/shared'
import type { ProxyEffect, ProxyMessage } from '@nutmegcourse/state'

export interface DecisionCore {
  handle(message: ProxyMessage, now: Milliseconds): readonly ProxyEffect[]
  /** Whether a request that waits to be sent may still be sent on its connection. */
  mayStillRun(request: RequestId, now: Milliseconds): boolean
  /** When to send the next `tick`; null if nothing is scheduled. */
  nextWake(now: Milliseconds): Milliseconds | null
}
