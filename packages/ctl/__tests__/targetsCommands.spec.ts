import { describe, it } from 'node:test'
import { expect } from 'earl'
import { errAsync, okAsync, type ResultAsync } from 'neverthrow'
import type { StoreCompareAndSwapResult, StoredValue } from '@nutmegcourse/protocol'
import { backendServerId } from '@nutmegcourse/shared'
import { applyTargets, diffTargets, getTargets } from '../src/commands/targetsCommands.js'
import { drainBackendServer } from '../src/commands/drainCommand.js'
import type { ExitCode } from '../src/exitCode.js'
import type { StorePort, StorePortError } from '../src/storePort.js'

type Fault = 'loseAnswer' | 'loseRequest' | 'down'

class FakeStore implements StorePort {
  readonly values = new Map<string, StoredValue>()
  #revision = 0
  #faults: Fault[] = []
  /** Runs once, between a read and the swap that follows it. */
  beforeSwap: (() => void) | null = null

  inject(...faults: Fault[]): void {
    this.#faults.push(...faults)
  }

  get(key: string): ResultAsync<StoredValue | null, StorePortError> {
    return okAsync(this.values.get(key) ?? null)
  }

  put(key: string, value: unknown): void {
    this.#revision += 1
    this.values.set(key, { key, revision: this.#revision, value })
  }

  compareAndSwap(
    key: string,
    expectedRevision: number,
    value: unknown,
  ): ResultAsync<StoreCompareAndSwapResult, StorePortError> {
    this.beforeSwap?.()
    this.beforeSwap = null
    const fault = this.#faults.shift()
    if (fault === 'down') return errAsync({ kind: 'unreachable', detail: 'refused' })
    if (fault === 'loseRequest') return errAsync({ kind: 'outcomeUnknown', detail: 'timeout' })
    const current = this.values.get(key) ?? null
    const matches = (current?.revision ?? 0) === expectedRevision
    if (matches) this.put(key, value)
    if (fault === 'loseAnswer') return errAsync({ kind: 'outcomeUnknown', detail: 'timeout' })
    if (!matches) return okAsync({ succeeded: false, current })
    return okAsync({ succeeded: true, revision: this.#revision })
  }
}

const document = (latency: number): string =>
  `service: quai-sched\nclasses:\n  - { name: lookup, access: read, latencyMilliseconds: ${latency} }\n`

let changeNumber = 0
const apply = (
  store: StorePort,
  latency: number,
  expectVersion: number | null = null,
  fleetVersion = 0,
) =>
  applyTargets(store, {
    text: document(latency),
    file: 'targets.yaml',
    changedBy: 'operator',
    changeId: `change-${(changeNumber += 1)}`,
    expectVersion,
    fleetVersion,
    json: false,
  })

describe('apply', () => {
  // An operator changes targets while calls to the store fail. The reported outcome must match the store:
  // an accepted change is stored exactly once, a refused one is not stored.
  const cases: {
    name: string
    faults: Fault[]
    exitCode: ExitCode
    version: number
  }[] = [
    { name: 'accepts a change', faults: [], exitCode: 0, version: 1 },
    {
      name: 'succeeds when the answer is lost after the change',
      faults: ['loseAnswer'],
      exitCode: 0,
      version: 1,
    },
    { name: 'retries a request that was lost', faults: ['loseRequest'], exitCode: 0, version: 1 },
    {
      name: 'succeeds after several lost answers in a row',
      faults: ['loseAnswer', 'loseAnswer', 'loseRequest'],
      exitCode: 0,
      version: 1,
    },
    {
      name: 'reports that nothing changed while the store is down',
      faults: ['down', 'down', 'down', 'down', 'down'],
      exitCode: 5,
      version: 0,
    },
    {
      name: 'reports an unknown outcome when an answer was lost and the store stays down',
      faults: ['loseAnswer', 'down', 'down', 'down', 'down'],
      exitCode: 6,
      version: 1,
    },
  ]
  for (const { name, faults, exitCode, version } of cases) {
    it(name, async () => {
      const store = new FakeStore()
      store.inject(...faults)
      const result = await apply(store, 100)
      expect(result.exitCode).toEqual(exitCode)
      const stored = store.values.get('configuration/targets')?.value as
        { version: number } | undefined
      expect(stored?.version ?? 0).toEqual(version)
    })
  }

  // Two operators change the same document at the same time. The one that loses must get the conflict and
  // the differences; its change must not be dropped silently nor overwrite the other one.
  it('reports the winning change to the operator that lost a race', async () => {
    const store = new FakeStore()
    await apply(store, 100)
    store.beforeSwap = () => {
      const stored = store.values.get('configuration/targets')?.value as { version: number }
      store.put('configuration/targets', {
        ...stored,
        version: 2,
        changeId: 'x',
        changedBy: 'rival',
      })
    }
    const loser = await apply(store, 300)
    expect(loser.exitCode).toEqual(4)
    expect(loser.errorOutput.includes('version 2 by rival is in force')).toEqual(true)
    expect(loser.errorOutput.includes('latencyMilliseconds 100 -> 300')).toEqual(true)
  })

  // The answer to a change is lost, and before the retry another operator's change is made on top of it.
  // The command must find its own change id among the recent changes of the newer document.
  it('recognizes its own change after a later one by another operator', async () => {
    const store = new FakeStore()
    store.inject('loseAnswer')
    const original = store.compareAndSwap.bind(store)
    let calls = 0
    store.compareAndSwap = (key, revision, value) => {
      calls += 1
      if (calls === 2) {
        const mine = store.values.get(key)?.value as { changeId: string }
        store.put(key, { ...mine, version: 2, changeId: 'rival', recentChangeIds: [mine.changeId] })
      }
      return original(key, revision, value)
    }
    expect((await apply(store, 100)).exitCode).toEqual(0)
  })

  it('refuses when a version other than the expected one is in force', async () => {
    const store = new FakeStore()
    await apply(store, 100)
    expect((await apply(store, 200, 7)).exitCode).toEqual(4)
    expect((await apply(store, 200, 1)).exitCode).toEqual(0)
  })

  // The store is restored from a copy that is three versions old. The next change must get a version above
  // all that the fleet has seen, or every agent would ignore it as old.
  it('assigns a version above the newest one that the fleet knows', async () => {
    const store = new FakeStore()
    await apply(store, 100)
    expect((await apply(store, 200, null, 4)).output.startsWith('version 5 accepted')).toEqual(true)
  })

  it('changes nothing for an invalid document', async () => {
    const store = new FakeStore()
    const result = await applyTargets(store, {
      text: 'service: x\nclasses: []\n',
      file: '-',
      changedBy: 'operator',
      changeId: 'c',
      expectVersion: null,
      fleetVersion: 0,
      json: false,
    })
    expect(result.exitCode).toEqual(3)
    expect(store.values.size).toEqual(0)
  })
})

describe('get and diff', () => {
  it('print the targets in force and what would change', async () => {
    const store = new FakeStore()
    await apply(store, 100)
    expect((await getTargets(store, false)).output.includes('version 1')).toEqual(true)
    const same = await diffTargets(store, { text: document(100), file: '-', json: false })
    const other = await diffTargets(store, { text: document(250), file: '-', json: false })
    expect([same.exitCode, other.exitCode]).toEqual([0, 1])
    expect(other.output).toEqual('~ class lookup: latencyMilliseconds 100 -> 250\n')
  })
})

describe('drain', () => {
  const server = backendServerId('sched-1')
  const drain = (store: StorePort, undo: boolean) =>
    drainBackendServer(store, { backendServer: server, undo, json: false })

  it('marks a server once even if repeated, and removes the mark', async () => {
    const store = new FakeStore()
    store.inject('loseAnswer')
    expect((await drain(store, false)).output).toEqual('draining: sched-1\n')
    expect((await drain(store, false)).exitCode).toEqual(0)
    expect((await drain(store, true)).output).toEqual('draining: none\n')
  })

  it('keeps the mark that another operator set at the same time', async () => {
    const store = new FakeStore()
    store.beforeSwap = () => {
      store.put('configuration/drains', { version: 1, backendServers: ['sched-2'] })
    }
    expect((await drain(store, false)).output).toEqual('draining: sched-1, sched-2\n')
  })
})
