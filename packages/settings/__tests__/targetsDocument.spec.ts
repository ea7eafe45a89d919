import { describe, it } from 'node:test'
import { expect } from 'earl'
import { formatSettingsError, readTargets } from '../src/index.js'

const GOOD = `service: quai-sched
classes:
  - name: scheduling_write
    access: write
    latencyMilliseconds: 500
  - name: supervisor_lookup
    access: read
    freshnessMilliseconds: 1000
    latencyMilliseconds: 200
    replicaReadShare: 0.9
defaults:
  - applicationName: tos
    class: supervisor_lookup
`

describe('readTargets', () => {
  it('reads a document and fills in the defaults', () => {
    const targets = readTargets(GOOD, 'targets.yaml')._unsafeUnwrap()
    expect(targets.classes.map(entry => entry.idempotent)).toEqual([false, true])
    expect(targets.classes.map(entry => entry.replicaReadShare)).toEqual([0, 0.9])
  })

  const mistakes = [
    {
      name: 'a weight',
      text: GOOD.replace('replicaReadShare: 0.9', 'weight: 3'),
      expected: ['targets.yaml:10: classes[1].weight: weights can not be set'],
    },
    {
      name: 'a host',
      text: GOOD.replace('replicaReadShare: 0.9', 'backendServer: db-1'),
      expected: ['targets.yaml:10: classes[1].backendServer: hosts can not be named here'],
    },
    {
      name: 'several mistakes',
      text: GOOD.replace('0.9', '1.5').replace('access: write', 'access: both'),
      expected: [
        'targets.yaml:4: classes[0].access',
        'targets.yaml:10: classes[1].replicaReadShare',
      ],
    },
    {
      name: 'a default for an unknown class',
      text: GOOD.replace('class: supervisor_lookup', 'class: gallery'),
      expected: ['targets.yaml:13: defaults[0].class: no such class'],
    },
    { name: 'broken YAML', text: 'classes: [', expected: ['targets.yaml:1: (document)'] },
  ]
  for (const { name, text, expected } of mistakes) {
    it(`reports the location of ${name}`, () => {
      const lines = formatSettingsError(readTargets(text, 'targets.yaml')._unsafeUnwrapErr()).split(
        '\n',
      )
      expect(lines.length).toEqual(expected.length)
      expected.forEach((start, index) => {
        expect(lines[index]?.startsWith(start)).toEqual(true)
      })
    })
  }
})
