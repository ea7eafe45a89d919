/**
 * Draws terms that are unique to an attempt, without coordination.
 *
 * A term combines a round with a random number of the attempt, as a Paxos ballot combines a round
 * with its proposer. The number is drawn for each attempt and not derived from the host: entry hosts
 * keep no state across a restart, and a host that lost its state must not send something else at a
 * term that it has already used.
 */
import { term, type RandomSource, type Term } from '@nutmegcourse/shared'

/**
 * The number of distinct terms in a round. Two attempts that start in the same round at the same
 * time draw the same term with a probability of one in this number. Terms stay exact in a JavaScript
 * number for 2^27 rounds.
 */
const ATTEMPTS_PER_ROUND = 2 ** 26

/** Draws a term above `newest` for one attempt. */
export function drawTerm(newest: Term, random: RandomSource): Term {
  const round = Math.floor(newest / ATTEMPTS_PER_ROUND) + 1
  return term(round * ATTEMPTS_PER_ROUND + Math.floor(random.next() * ATTEMPTS_PER_ROUND))
}

export const laterTerm = (left: Term, right: Term): Term => (left > right ? left : right)
