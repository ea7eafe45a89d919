/** Median and range of a set of measured values. */

export interface Spread {
  readonly median: number
  readonly least: number
  readonly most: number
  readonly count: number
}

/** Returns null if there are no values. */
export function spreadOf(values: readonly number[]): Spread | null {
  const sorted = [...values].sort((left, right) => left - right)
  const [least] = sorted
  const most = sorted.at(-1)
  if (least === undefined || most === undefined) return null
  const middle = Math.floor(sorted.length / 2)
  const upper = sorted[middle] ?? least
  const lower = sorted[sorted.length % 2 === 0 ? middle - 1 : middle] ?? upper
  return {
    median: Math.round((lower + upper) / 2),
    least: Math.round(least),
    most: Math.round(most),
    count: sorted.length,
  }
}

export const formatSpread = (spread: Spread | null): string =>
  spread === null
    ? 'not measured'
    : `median ${spread.median}, ${spread.least} to ${spread.most} (${spread.count})`
