import { describe, it } from 'node:test'
import { expect } from 'earl'
import { DecisionLog, type LogFields } from '../src/decisionLog.js'
import { HostMetrics } from '../src/hostMetrics.js'

describe('DecisionLog', () => {
  // A backend server refuses everything for a while. Logging must not cost more than the work itself, and readers of
  // the log must see that lines were left out.
  const cases = [
    { event: 'try_failed', most: 15 },
    { event: 'statement_refused', most: 100 },
    { event: 'order_answered', most: 60 },
  ] as const
  for (const { event, most } of cases) {
    it(`writes at most ${most} lines of ${event} a second and counts all events`, () => {
      const lines: string[] = []
      const metrics = new HostMetrics()
      const log = new DecisionLog({ info: name => lines.push(name) }, metrics)
      for (let times = 0; times < 1000; times += 1) log.write(event)
      const written = lines.filter(name => name === event).length
      expect(written >= most && written <= 2 * most).toEqual(true)
      expect(metrics.text().includes(`{event="${event}"} 1000`)).toEqual(true)
    })
  }

  // Guards against refusals that do not say which configuration decided, or how old the host's knowledge of it is.
  for (const event of ['session_refused', 'statement_refused', 'try_failed'] as const) {
    it(`says in ${event} which configuration decided, and how old it is`, () => {
      const lines: LogFields[] = []
      const sink = { info: (_event: string, fields: LogFields) => lines.push(fields) }
      const log = new DecisionLog(sink, new HostMetrics())
      const configuration = { version: 7, source: 'store', knownMilliseconds: 12 }
      log.describeDecisions(() => configuration)
      log.write(event, { database: 'db' })
      expect(lines).toEqual([{ database: 'db', ...configuration }])
    })
  }

  // A lost write is to be found by the level of its line, among thousands of ordinary ones.
  it('writes a lost write as a warning, and counts each reason by itself', () => {
    const infos: string[] = []
    const warnings: string[] = []
    const metrics = new HostMetrics()
    const sink = {
      info: (name: string) => infos.push(name),
      warn: (name: string) => warnings.push(name),
    }
    const log = new DecisionLog(sink, metrics)
    log.write('promotion_effective')
    log.write('acknowledged_writes_missing', { reason: 'replicaAhead' })
    expect([infos, warnings]).toEqual([['promotion_effective'], ['acknowledged_writes_missing']])
    const label = '{event="acknowledged_writes_missing",reason="replicaAhead"} 1'
    expect(metrics.text().includes(label)).toEqual(true)
  })
})

describe('HostMetrics', () => {
  it('serves counters, latencies and gauges as text', () => {
    const metrics = new HostMetrics()
    metrics.gauge('sessions', () => 3)
    for (const took of [1, 2, 3, 400]) metrics.statement('read', 'answered', took)
    const text = metrics.text()
    expect(text.includes('nutmegcourse_sessions 3\n')).toEqual(true)
    expect(
      text.includes('nutmegcourse_statements_total{statement="read",outcome="answered"} 4'),
    ).toEqual(true)
    expect(
      text.includes('nutmegcourse_statement_milliseconds{statement="read",percentile="50"} 2'),
    ).toEqual(true)
  })
})
