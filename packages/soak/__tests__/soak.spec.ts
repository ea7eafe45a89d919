import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { SeededRandom } from '@nutmegcourse/shared'
import {
  DEFAULT_FAULT_KINDS,
  PLANNED_KINDS,
  planFaults,
  runSoak,
  type FaultKind,
} from '../src/index.js'

const PROGRAM = fileURLToPath(new URL('../../../host/dist/src/main.js', import.meta.url))

const SIZES = {
  hosts: ['host-1', 'host-2'],
  servers: ['server-1', 'server-2'],
  spanMilliseconds: 60_000,
  paceMilliseconds: 200,
  kinds: DEFAULT_FAULT_KINDS,
}

describe('the fault plan of a soak test', () => {
  it('is the same for the same seed', () => {
    expect(planFaults(SIZES, new SeededRandom(7))).toEqual(planFaults(SIZES, new SeededRandom(7)))
  })

  it('contains every default kind of fault, within the time span and overlapping', () => {
    const planned = planFaults(SIZES, new SeededRandom(7))
    const kinds = new Set(planned.map(({ fault }) => fault.kind))
    expect([...kinds].sort()).toEqual([...DEFAULT_FAULT_KINDS].sort())
    expect(
      planned.every(
        ({ startsAtMilliseconds }) =>
          startsAtMilliseconds > 0 && startsAtMilliseconds < SIZES.spanMilliseconds,
      ),
    ).toEqual(true)
    expect(
      planned.some(
        ({ startsAtMilliseconds, durationMilliseconds }, index) =>
          (planned[index + 1]?.startsAtMilliseconds ?? startsAtMilliseconds) <
          startsAtMilliseconds + durationMilliseconds,
      ),
    ).toEqual(true)
  })
})

// Guards against planned stops that interrupt callers. A host that was stopping accepted new sessions and
// worked for them until its process ended: session_cut for 26 sessions, all accepted 2,279 to 3,593 ms
// after the signal, and stop_step "ended" with 12 open sessions, 3 s after idle sessions were closed.
// Statements that crossed the close of an idle session, 437 in ten runs, had an unknown outcome: the host
// read them 0 to 9 ms after the close (statement_dropped). It now reports to the callers that they did not run.

interface Run {
  readonly name: string
  readonly seed: number
  /** The kinds of fault to inject. */
  readonly kinds: readonly FaultKind[]
  readonly hosts: number
}

const RUNS: readonly Run[] = [
  { name: 'every kind of fault', seed: 11, kinds: DEFAULT_FAULT_KINDS, hosts: 3 },
  {
    name: 'planned operations only, which interrupt no statement',
    seed: 12,
    kinds: ['hostStopped', 'configurationChanged'],
    hosts: 3,
  },
  {
    name: 'repeated and overlapping signals, which interrupt no statement',
    seed: 13,
    kinds: PLANNED_KINDS,
    hosts: 3,
  },
  // Guards against hosts that miss changes when the host that forwards them fails.
  {
    name: 'every kind of fault when one host per zone forwards the changes of the store',
    seed: 7101,
    kinds: DEFAULT_FAULT_KINDS,
    hosts: 18,
  },
]

describe('entry host processes under faults', () => {
  for (const { name, seed, kinds, hosts } of RUNS) {
    it(`keep their promises with ${name}`, async () => {
      const directory = mkdtempSync(join(tmpdir(), 'nutmegcourse-soak-'))
      try {
        const report = await runSoak({
          seed,
          seconds: 6,
          hosts,
          services: 1,
          callers: 9,
          paceMilliseconds: 500,
          connectionLimit: 25,
          kinds,
          isHardLoad: false,
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
