import { describe, it } from 'node:test'
import { expect } from 'earl'
import type { BackendRefusal } from '@nutmegcourse/protocol'
import type { SlotResult, StatementFailure } from '@nutmegcourse/state'
import { slotResultOf } from '../src/statementSlots.js'

const refused = (refusal: BackendRefusal): StatementFailure => ({ kind: 'refused', refusal })

describe('slotResultOf', () => {
  const used: SlotResult = { kind: 'answered', slotMilliseconds: 12 }
  const cases: readonly (readonly [string, StatementFailure, SlotResult])[] = [
    // Guards against customers whose statements fail and are served as if they used nothing.
    ['ran and failed', refused('failed'), used],
    ['did not run: the server is busy', refused('busy'), { kind: 'busy' }],
    ['did not run: the replica is behind', refused('behind'), { kind: 'unknown' }],
    ['timed out at the server, with or without a slot', refused('timeout'), { kind: 'unknown' }],
    ['was not answered', { kind: 'overdue' }, { kind: 'unknown' }],
  ]
  for (const [name, mishap, result] of cases) {
    it(`tells what a statement used of its slot: ${name}`, () => {
      const outcome = { kind: 'mishap', mishap, status: null, position: null } as const
      expect(slotResultOf(outcome, 12)).toEqual(result)
    })
  }
})
