/** The store reduced to what the failover machine sees: one record with compare-and-swap. */
import type { GroupRecord } from '@nutmegcourse/protocol'
import type { FailoverEffect, StoreOutcome } from '@nutmegcourse/coordination'

import type { VirtualNetwork } from './virtualNetwork.js'

export type StoreEffect = Extract<FailoverEffect, { kind: 'readRecord' | 'swapRecord' }>

const STORE = 'store'
const PROCESSING_MILLISECONDS = 2

export class FakeRecordStore {
  state: 'up' | 'down' | 'answersLost' = 'up'
  /** Added to each call, in milliseconds. */
  delay = 0
  stored: { record: GroupRecord | null; revision: number }
  readonly #network: VirtualNetwork
  readonly #watchers: readonly string[]
  /** Called for each watcher when the record has changed. */
  readonly #changed: (watcher: number, record: GroupRecord, revision: number) => void

  constructor(
    network: VirtualNetwork,
    record: GroupRecord,
    watchers: readonly string[],
    changed: (watcher: number, record: GroupRecord, revision: number) => void,
  ) {
    this.#network = network
    this.#watchers = watchers
    this.#changed = changed
    this.stored = { record, revision: 7 }
    network.addProcess(STORE, network.layout.zones[0])
  }

  call(from: string, effect: StoreEffect, answer: (outcome: StoreOutcome) => void): void {
    let isOpen = true
    const once = (outcome: StoreOutcome): void => {
      if (isOpen) answer(outcome)
      isOpen = false
    }
    this.#network.schedule(effect.timeoutMilliseconds, () => {
      once({ kind: 'failed' })
    })
    if (this.state === 'down') return
    this.#network.send(from, STORE, () => {
      this.#network.schedule(PROCESSING_MILLISECONDS + this.delay, () => {
        this.#finish(from, effect, once)
      })
    })
  }

  #finish(from: string, effect: StoreEffect, answer: (outcome: StoreOutcome) => void): void {
    if (this.state === 'down') return
    const outcome = this.#run(effect)
    if (this.state === 'answersLost') return
    this.#network.send(STORE, from, () => {
      answer(outcome)
    })
  }

  #run(effect: StoreEffect): StoreOutcome {
    if (effect.kind === 'readRecord') return { kind: 'read', ...this.stored }
    if (effect.expectedRevision !== this.stored.revision) {
      return { kind: 'conflict', ...this.stored }
    }
    const { record } = effect
    const revision = this.stored.revision + 1
    this.stored = { record, revision }
    this.#watchers.forEach((name, watcher) => {
      this.#network.send(STORE, name, () => {
        this.#changed(watcher, record, revision)
      })
    })
    return { kind: 'swapped', revision }
  }
}
