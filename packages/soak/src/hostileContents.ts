/** Data, values and rows that hold line ends, or what looks like messages; CR LF itself ends a message. */
import type { RandomSource } from '@nutmegcourse/shared'
import { pick } from '@nutmegcourse/stand-ins'

const ROW_ENDS = [
  '',
  '\n',
  '\r',
  '\nsecond',
  '\rsecond',
  '\nDONE 9.9.forged',
  '\nDONE 9.9.forged\nREADY I 1.1',
  '\rDONE 9.9.forged\rREADY I 1.1\r',
]

/** A row that names the statement whose answer it is in. */
export const hostileRow = (id: string, random: RandomSource): string =>
  `row of ${id}${pick(ROW_ENDS, random)}`

/** What follows the item of a write, or is the value of a session. */
export function hostileData(id: string, random: RandomSource): string {
  const ends = ['', '\n', '\r', '\nsecond', '\rsecond', `\nQUERY ${id}-unsent WRITE b2 second`]
  return `data of ${id}${pick(ends, random)}`
}
