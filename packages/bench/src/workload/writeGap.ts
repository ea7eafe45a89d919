/** How long writes did not succeed, as callers saw it. */
import type { Milliseconds } from '@nutmegcourse/shared'
import type { Operation } from './operation.js'

/**
 * The longest time between two acknowledgements of writes that follow each other, of which the
 * second came after `from`. It does not depend on when exactly the fault struck. Milliseconds.
 */
export function longestWriteGap(
  operations: readonly Operation[],
  database: string,
  from: Milliseconds,
): number {
  const ends = operations
    .filter(operation => operation.kind !== 'counterRead' && operation.database === database)
    .filter(operation => operation.outcome.kind === 'acknowledged')
    .map(operation => operation.endedAt)
    .sort((left, right) => left - right)
  const silences = ends.slice(1).map((end, index) => (end > from ? end - (ends[index] ?? end) : 0))
  return Math.max(0, ...silences)
}
