import { describe, it } from 'node:test'
import { expect } from 'earl'
import { HostMetrics } from '../src/hostMetrics.js'

// Guards against a reason from another host that ends its label and writes a metric of its own.
describe('a label of a metric', () => {
  const texts: readonly (readonly [string, string])[] = [
    ['slots', 'slots'],
    ['a"} 1\nnutmegcourse_forged{a="', 'a\\"} 1\\nnutmegcourse_forged{a=\\"'],
    ['a\\', 'a\\\\'],
  ]
  for (const [text, label] of texts) {
    it(`holds any text: ${JSON.stringify(text)}`, () => {
      const metrics = new HostMetrics()
      metrics.event('statement_refused', text)
      metrics.statement('read', text, 1)
      const lines = metrics.text().split('\n').slice(0, 2)
      expect(lines).toEqual([
        `nutmegcourse_events_total{event="statement_refused",reason="${label}"} 1`,
        `nutmegcourse_statements_total{statement="read",outcome="${label}"} 1`,
      ])
    })
  }
})
