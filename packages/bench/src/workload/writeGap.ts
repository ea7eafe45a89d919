/** Measures how long writes did not succeed, as seen by callers. */
import type { Milliseconds } from '@nutmegcourse/shared'
import type { Operation } from './operation.js'

/**
 * The longest time in milliseconds between two consecutive acknowledgements of writes, the second
 * of which came after `from`. Independent of the exact time of the fault.
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
  const gaps = ends.slice(1).map((end, index) => (end > from ? end - (ends[index] ?? end) : 0))
  return Math.max(0, ...gaps)
}
