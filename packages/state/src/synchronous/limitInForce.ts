/** What a customer's limit means where it is not a valid one. */
import type { OperationLimit } from '@nutmegcourse/protocol'

const NOTHING: OperationLimit = { operationsPerSecond: 0, burst: 0 }

export const isValidLimit = ({ operationsPerSecond, isUnreadable }: OperationLimit): boolean =>
  isUnreadable !== true && operationsPerSecond >= 0

/** That a limit stands there shows that the customer is not meant to be without one: nothing is granted. */
export function limitInForce(limit: OperationLimit): OperationLimit {
  if (!isValidLimit(limit)) return NOTHING
  return limit.burst >= 0 ? limit : { ...limit, burst: 0 }
}
