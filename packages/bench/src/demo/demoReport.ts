/** The results of a demo run, as a table for people and one JSON object for programs. */
import { build } from 'hdr-histogram-js'
import type { Targets } from '@nutmegcourse/protocol'
import type { HistoryCheckResult } from '../workload/history.js'
import type { CounterRead, Operation } from '../workload/operation.js'

export interface DemoReport {
  readonly acknowledged: number
  readonly lost: number
  readonly doubled: number
  readonly ranThoughRefused: number
  readonly readYourWritesViolations: number
  readonly outcomeUnknown: number
  readonly replicaReadShare: number
  readonly permittedReplicaReadShare: number
  readonly failoverGapMilliseconds: number | null
  readonly plannedMoveGapMilliseconds: number | null
  readonly interRegionBytes: number
  readonly latencyMilliseconds: Readonly<
    Record<string, { readonly p50: number; readonly p99: number }>
  >
  readonly refusals: Readonly<Record<string, number>>
}

export interface DemoFindings {
  readonly operations: readonly Operation[]
  readonly checkResult: HistoryCheckResult
  readonly targets: Targets
  readonly failoverGap: number | null
  readonly plannedMoveGap: number | null
  readonly interRegionBytes: number
}

export function makeReport(findings: DemoFindings): DemoReport {
  const { operations, checkResult, targets } = findings
  const reads = operations.filter(
    (operation): operation is CounterRead =>
      operation.kind === 'counterRead' && operation.servedBy !== null,
  )
  const onReplicas = reads.filter(read => read.servedBy === 'replica').length
  const permitted = new Map(
    targets.classes.map(entry => [String(entry.name), entry.replicaReadShare]),
  )
  const permittedReads = reads.reduce((sum, read) => sum + (permitted.get(read.class) ?? 0), 0)
  return {
    acknowledged: checkResult.acknowledged,
    lost: checkResult.lost.length,
    doubled: checkResult.doubled.length,
    ranThoughRefused: checkResult.ranThoughRefused.length,
    readYourWritesViolations: checkResult.staleReads.length,
    outcomeUnknown: checkResult.unknown,
    replicaReadShare: round(onReplicas / reads.length, 4),
    permittedReplicaReadShare: round(permittedReads / reads.length, 4),
    failoverGapMilliseconds: roundOrNull(findings.failoverGap),
    plannedMoveGapMilliseconds: roundOrNull(findings.plannedMoveGap),
    interRegionBytes: findings.interRegionBytes,
    latencyMilliseconds: measureLatencies(operations),
    refusals: Object.fromEntries(checkResult.refusals),
  }
}

/** Whether all guarantees held. */
export const isClean = (report: DemoReport): boolean =>
  report.lost + report.doubled + report.ranThoughRefused + report.readYourWritesViolations === 0

export function formatReport(report: DemoReport): string {
  const { latencyMilliseconds, refusals, ...scalars } = report
  const lines = Object.entries(scalars).map(([name, value]) => row(name, String(value)))
  const latencies = Object.entries(latencyMilliseconds).map(([name, { p50, p99 }]) =>
    row(`latency of ${name}`, `p50 ${p50} ms, p99 ${p99} ms`),
  )
  const reasons = Object.entries(refusals).map(([reason, count]) =>
    row(`answered ${reason}`, String(count)),
  )
  return [...lines, ...latencies, ...reasons].join('\n')
}

const NAME_WIDTH = 34
const row = (name: string, value: string): string => `  ${name.padEnd(NAME_WIDTH)} ${value}`

/** Latencies of acknowledged requests. */
function measureLatencies(operations: readonly Operation[]): DemoReport['latencyMilliseconds'] {
  const classes = [...new Set(operations.map(operation => operation.class))].sort()
  return Object.fromEntries(
    classes.map(name => {
      const histogram = build({ numberOfSignificantValueDigits: 3 })
      for (const operation of operations) {
        if (operation.class !== name || operation.outcome.kind !== 'acknowledged') continue
        histogram.recordValue(Math.round((operation.endedAt - operation.startedAt) * 1000))
      }
      const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000
      return [name, { p50: round(at(50), 1), p99: round(at(99), 1) }]
    }),
  )
}

function round(value: number, digits: number): number {
  return Number.isFinite(value) ? Number(value.toFixed(digits)) : 0
}

const roundOrNull = (value: number | null): number | null =>
  value === null ? null : Math.round(value)
