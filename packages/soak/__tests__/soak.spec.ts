import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@nutmegcourse/shared'
import { FAULT_KINDS, planFaults, runSoak, type FaultKind } from '../src/index.js'

const PROGRAM = fileURLToPath(new URL('../../../host/dist/src/main.js', import.meta.url))

const SIZES = {
  hosts: ['host-1', 'host-2'],
  servers: ['server-1', 'server-2'],
  spanMilliseconds: 60_000,
  paceMilliseconds: 200,
  kinds: FAULT_KINDS,
}

describe('the plan of a soak', () => {
  it('is the same for the same seed', () => {
    expect(planFaults(SIZES, new SeededRandom(7))).toEqual(planFaults(SIZES, new SeededRandom(7)))
  })

  it('holds every kind of fault, at times within the span, several at once', () => {
    const planned = planFaults(SIZES, new SeededRandom(7))
    const kinds = new Set(planned.map(({ fault }) => fault.kind))
    expect([...kinds].sort()).toEqual([...FAULT_KINDS].sort())
    expect(planned.every(({ at }) => at > 0 && at < SIZES.spanMilliseconds)).toEqual(true)
    expect(
      planned.some(({ at, lasts }, index) => (planned[index + 1]?.at ?? at) < at + lasts),
    ).toEqual(true)
  })
})

/** Seed, what may go wrong, and what the run is for. */
const RUNS: readonly (readonly [number, readonly FaultKind[], string])[] = [
  [11, FAULT_KINDS, 'every kind of fault'],
  [12, ['hostStopped', 'configurationChanged'], 'planned work alone, which cuts nothing'],
]

describe('entry hosts as processes under faults keep their promises', () => {
  for (const [seed, kinds, name] of RUNS) {
    it(`with ${name}`, async () => {
      const directory = mkdtempSync(join(tmpdir(), 'nutmegcourse-soak-'))
      try {
        const report = await runSoak({
          seed,
          seconds: 6,
          hosts: 3,
          services: 1,
          callers: 9,
          paceMilliseconds: 500,
          connectionLimit: 25,
          kinds,
          program: PROGRAM,
          directory,
        })
        expect(report.findings).toEqual([])
        expect(report.operations.acknowledged > 0).toEqual(true)
      } finally {
        rmSync(directory, { recursive: true, force: true })
      }
    })
  }
})
