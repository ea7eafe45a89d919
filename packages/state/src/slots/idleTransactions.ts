/** Chooses the idle transactions that are ended because others wait for their connections. */
import type { Milliseconds } from '@nutmegcourse/shared'

export interface IdleTransaction {
  /** When its last statement was answered. */
  readonly idleSince: Milliseconds
}

export interface IdleTransactionTerms {
  /** Waiters that only the end of a transaction can help. */
  readonly waiters: number
  /** Transactions that have been idle for this long or shorter go on. */
  readonly limitMilliseconds: number
}

/** The transactions to end now: the longest idle first, and no more than there are waiters. */
export function transactionsToEnd<Transaction extends IdleTransaction>(
  idle: Iterable<Transaction>,
  { waiters, limitMilliseconds }: IdleTransactionTerms,
  now: Milliseconds,
): Transaction[] {
  return [...idle]
    .filter(({ idleSince }) => now - idleSince > limitMilliseconds)
    .sort((left, right) => left.idleSince - right.idleSince)
    .slice(0, Math.max(0, waiters))
}
