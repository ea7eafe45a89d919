/** A statement that needs a slot of a backend server. */
import type { CustomerName, Milliseconds } from '@nutmegcourse/shared'

export interface SlotRequest {
  /** The priority of its route; 0 is the highest. */
  readonly classPriority: number
  /** Null where customers are not distinguished. */
  readonly customer: CustomerName | null
  /** The customer's share of a contended server relative to other customers. */
  readonly customerWeight: number
  readonly arrivedAt: Milliseconds
  /** When the latency target of its class has passed, so that it is late. */
  readonly targetAt: Milliseconds
  /** The latest time at which it may start and still be answered by its deadline. */
  readonly latestStart: Milliseconds
  /** It continues a transaction, which holds a connection and locks until it ends. */
  readonly isUnderWay: boolean
  /** How long it is expected to occupy a slot. */
  readonly expectedMilliseconds: number
}

/** How a statement's use of a slot ended. */
export type SlotResult =
  | { readonly kind: 'answered'; readonly slotMilliseconds: number }
  /** The server refused the statement because its own queue is full; nothing ran. */
  | { readonly kind: 'busy' }
  /** No slot was used, or it is not known for how long. */
  | { readonly kind: 'unknown' }

/** Priorities weigh 1, 1/2, 1/3 and so on. */
export const customerWeight = (priority: number): number => 1 / (1 + Math.max(0, priority))
