/** The interface through which an agent drives the failover state machine of one database. */
import type { Milliseconds } from '@nutmegcourse/shared'
import type { FailoverEffect, FailoverEvent, FailoverMessage } from './failoverMessages.js'

export interface FailoverMachine {
  handle(message: FailoverMessage, now: Milliseconds): readonly FailoverEffect[]
  /** The latest time for the next `tick`; null when none is needed before another message. */
  nextWake(now: Milliseconds): Milliseconds | null
  /** The steps of the most recent changes of primary, oldest first. */
  events(): readonly FailoverEvent[]
}
