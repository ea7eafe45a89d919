/** The store's values, revisions, leases and change listeners. Time comes only from the given clock. */
import type {
  StoreCompareAndSwapParams,
  StoreCompareAndSwapResult,
  StoredValue,
  StoreListResult,
  StoreWatchResult,
} from '@nutmegcourse/protocol'
import type { Clock, Milliseconds } from '@nutmegcourse/shared'

interface Lease {
  readonly timeToLiveMilliseconds: number
  expiresAt: Milliseconds
}

/** The last change of a key: its value, or its removal. */
interface Change {
  readonly revision: number
  readonly key: string
  readonly stored: StoredValue | null
  readonly leaseId: string | null
}

export class StoreContents {
  readonly #clock: Clock
  readonly #changes = new Map<string, Change>()
  readonly #leases = new Map<string, Lease>()
  readonly #listeners = new Set<() => void>()
  #revision = 0
  #leasesGranted = 0

  constructor(clock: Clock) {
    this.#clock = clock
  }

  get(key: string): StoredValue | null {
    this.#expireLeases()
    return this.#changes.get(key)?.stored ?? null
  }

  list(prefix: string): StoreListResult {
    this.#expireLeases()
    const values = this.#changesWith(prefix).flatMap(change => change.stored ?? [])
    return { revision: this.#revision, values }
  }

  compareAndSwap(params: StoreCompareAndSwapParams): StoreCompareAndSwapResult {
    this.#expireLeases()
    const current = this.#changes.get(params.key)?.stored ?? null
    const leaseId = params.leaseId ?? null
    const leaseLapsed = leaseId !== null && !this.#leases.has(leaseId)
    if ((current?.revision ?? 0) !== params.expectedRevision || leaseLapsed) {
      return { succeeded: false, current }
    }
    return { succeeded: true, revision: this.#put(params.key, params.value, leaseId) }
  }

  /** The last change of each key under `prefix` if made after `revision`; null when there are none. */
  changesAfter(prefix: string, revision: number): StoreWatchResult | null {
    this.#expireLeases()
    const changes = this.#changesWith(prefix).filter(change => change.revision > revision)
    if (changes.length === 0) return null
    return {
      revision: this.#revision,
      changed: changes.flatMap(change => change.stored ?? []),
      removedKeys: changes.filter(change => change.stored === null).map(change => change.key),
    }
  }

  get revision(): number {
    return this.#revision
  }

  /** Calls `listener` after each change until the returned function is called. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  grantLease(timeToLiveMilliseconds: number): string {
    this.#leasesGranted += 1
    const leaseId = `lease-${this.#leasesGranted}`
    this.#leases.set(leaseId, {
      timeToLiveMilliseconds,
      expiresAt: this.#after(timeToLiveMilliseconds),
    })
    return leaseId
  }

  keepAlive(leaseId: string): boolean {
    this.#expireLeases()
    const lease = this.#leases.get(leaseId)
    if (lease === undefined) return false
    lease.expiresAt = this.#after(lease.timeToLiveMilliseconds)
    return true
  }

  /** Removes expired leases and their keys. Called before each answer and by the server's timer. */
  #expireLeases(): void {
    const now = this.#clock.now()
    for (const [leaseId, lease] of this.#leases) {
      if (lease.expiresAt > now) continue
      this.#leases.delete(leaseId)
      const held = [...this.#changes.values()].filter(change => change.leaseId === leaseId)
      for (const change of held) this.#record(change.key, null, null)
    }
  }

  expire(): void {
    this.#expireLeases()
  }

  #put(key: string, value: unknown, leaseId: string | null): number {
    const stored = { key, value, revision: this.#revision + 1 }
    this.#record(key, stored, leaseId)
    return stored.revision
  }

  #record(key: string, stored: StoredValue | null, leaseId: string | null): void {
    this.#revision += 1
    this.#changes.set(key, { revision: this.#revision, key, stored, leaseId })
    for (const listener of [...this.#listeners]) listener()
  }

  #changesWith(prefix: string): readonly Change[] {
    return [...this.#changes.values()].filter(change => change.key.startsWith(prefix))
  }

  #after(milliseconds: number): Milliseconds {
    return (this.#clock.now() + milliseconds) as Milliseconds
  }
}
