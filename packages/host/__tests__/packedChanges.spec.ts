import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { RevisedChange } from '@nutmegcourse/protocol'
import { ChangePacker, unpackChanges } from '../src/packedChanges.js'

const record = (index: number): RevisedChange => ({
  kind: 'record',
  key: `host/host-${String(index)}`,
  value: JSON.stringify({ zone: 'zone-1', weight: 1 }),
  revision: index,
  lease: 1,
})

const records = (count: number): RevisedChange[] =>
  Array.from({ length: count }, (_, index) => record(index))

describe('changes that are sent to hosts of the zone', () => {
  const cases: readonly (readonly [string, number, boolean])[] = [
    ['none', 0, false],
    ['a few', 3, false],
    ['a long list', 500, true],
  ]
  for (const [name, count, isPacked] of cases) {
    it(`arrive as they were: ${name}`, () => {
      const changes = records(count)
      const sent = new ChangePacker().pack(changes, 1, 'whole')
      expect('deflated' in sent).toEqual(isPacked)
      expect(unpackChanges(sent)).toEqual(changes)
      expect(JSON.stringify(sent).length <= JSON.stringify(changes).length).toEqual(true)
    })
  }

  it('are packed anew for another revision or question', () => {
    const packer = new ChangePacker()
    const [first, second] = [records(500), records(501)]
    packer.pack(first, 1, 'whole')
    expect(unpackChanges(packer.pack(second, 1, '7'))).toEqual(second)
    expect(unpackChanges(packer.pack(second, 2, 'whole'))).toEqual(second)
  })
})
