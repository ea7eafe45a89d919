/**
 * Determines which writes of earlier terms the log of a later term contains.
 *
 * @internal
 */
import type { LogPosition, Term } from '@nutmegcourse/shared'
import type { TermStart } from '@nutmegcourse/protocol'

export type Containment = 'held' | 'discarded' | 'unknown'

/**
 * Whether the log of `term` contains `write`, according to the recorded starts of terms.
 *
 * The log of a term is its chosen server's log up to `startsAfter`, followed by records of the
 * term. A write of an earlier term is therefore in it exactly if that prefix contains it. If the
 * prefix ends in the write's own term, the offsets decide; otherwise the same rule applies to the
 * term in which the prefix ends.
 */
export function containsWrite(
  termStarts: readonly TermStart[],
  term: Term,
  write: LogPosition,
): Containment {
  let logTerm = term
  for (;;) {
    if (logTerm < write.term) return 'discarded'
    const start = termStarts.find(each => each.term === logTerm)
    if (start === undefined) return 'unknown'
    const { startsAfter } = start
    if (startsAfter.term === write.term) {
      return startsAfter.offset >= write.offset ? 'held' : 'discarded'
    }
    if (startsAfter.term >= logTerm) return 'unknown'
    logTerm = startsAfter.term
  }
}
