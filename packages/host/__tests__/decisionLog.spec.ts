import { describe, it } from 'node:test'
import { expect } from 'earl'
import { DecisionLog } from '../src/decisionLog.js'
import { HostMetrics } from '../src/hostMetrics.js'

describe('DecisionLog', () => {
  // A backend server refuses everything for a while. Logging must not cost more than the work itself, and readers of
  // the log must see that lines were left out.
  const cases = [
    { event: 'try_failed', most: 15 },
    { event: 'statement_refused', most: 100 },
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
