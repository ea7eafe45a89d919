/** How long callers saw no acknowledged write of a service around each change of its primary. */

export interface AcknowledgedWrite {
  readonly at: number
  /** The term of the primary that acknowledged it. */
  readonly term: number
}

export interface FailoverGaps {
  /** Changes after which a write was acknowledged; two without one between them count as one. */
  readonly changes: number
  readonly medianMilliseconds: number | null
  readonly maximumMilliseconds: number | null
  /** The longest time without an acknowledged write, with or without a change, by service. */
  readonly longestMilliseconds: Readonly<Record<string, number>>
}

/** The writes of each service are in the order of their acknowledgements. */
export function failoverGapsOf(
  acknowledged: ReadonlyMap<string, readonly AcknowledgedWrite[]>,
): FailoverGaps {
  const changeGaps: number[] = []
  const longestMilliseconds: Record<string, number> = {}
  for (const [service, writes] of acknowledged) {
    let longest = 0
    let previous = writes[0]
    let newestTerm = previous?.term ?? 0
    for (const write of writes) {
      const gap = write.at - (previous?.at ?? write.at)
      longest = Math.max(longest, gap)
      if (write.term > newestTerm) changeGaps.push(Math.round(gap))
      newestTerm = Math.max(newestTerm, write.term)
      previous = write
    }
    longestMilliseconds[service] = Math.round(longest)
  }
  changeGaps.sort((left, right) => left - right)
  return {
    changes: changeGaps.length,
    medianMilliseconds: changeGaps[Math.floor(changeGaps.length / 2)] ?? null,
    maximumMilliseconds: changeGaps.at(-1) ?? null,
    longestMilliseconds,
  }
}
