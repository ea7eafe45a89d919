/** Fakes of the store and the host list with the contents for a fleet of any size. */
import type { Server } from 'node:net'
import {
  TARGETS_KEY,
  groupKey,
  type GroupRecord,
  type ListedHost,
  type StoreCompareAndSwapParams,
  type StoredValue,
  type StoreWatchParams,
  type VersionedTargets,
} from '@nutmegcourse/protocol'
import { className } from '@nutmegcourse/shared'
import { JsonRpcConnection, listen, type RpcHandlers } from '@nutmegcourse/transport'

const LOOPBACK = '127.0.0.1'
const CLASSES = 12

export const targetsOf = (version: number): VersionedTargets => ({
  version,
  changeId: `change-${version}`,
  changedBy: 'bench',
  recentChangeIds: [],
  targets: {
    service: 'bench',
    classes: Array.from({ length: CLASSES }, (_, index) => ({
      name: className(`class_${index}`),
      access: 'read' as const,
      idempotent: true,
      freshnessMilliseconds: 1000,
      latencyMilliseconds: 200,
      replicaReadShare: 0.9,
    })),
    defaults: [],
  },
})

/** A JSON-RPC service on a free loopback port. */
export class FakeService {
  readonly #handlers: RpcHandlers
  #server: Server | null = null

  constructor(handlers: RpcHandlers) {
    this.#handlers = handlers
  }

  async start(): Promise<number> {
    const { server, port } = await listen(LOOPBACK, 0, socket => {
      socket.unref()
      new JsonRpcConnection(socket, this.#handlers)
    })
    server.unref()
    this.#server = server
    return port
  }

  stop(): void {
    this.#server?.close()
  }
}

/** Stores group records and targets. A watch is answered at the first change or at its timeout. */
export class FakeStore {
  readonly #values = new Map<string, StoredValue>()
  readonly #waiting = new Set<() => void>()
  readonly #service: FakeService
  #revision = 1

  constructor(records: readonly GroupRecord[]) {
    for (const record of records) this.#put(groupKey(record.database), record)
    this.#put(TARGETS_KEY, targetsOf(1))
    this.#service = new FakeService({
      'store.get': params => this.#values.get((params as { key: string }).key) ?? null,
      'store.list': params => ({
        revision: this.#revision,
        values: this.#valuesAfter((params as { prefix: string }).prefix, 0),
      }),
      'store.compareAndSwap': params => this.#swap(params as StoreCompareAndSwapParams),
      'store.watch': params => this.#watch(params as StoreWatchParams),
    })
  }

  start(): Promise<number> {
    return this.#service.start()
  }

  stop(): void {
    this.#service.stop()
  }

  changeTargets(document: VersionedTargets): void {
    this.#revision += 1
    this.#put(TARGETS_KEY, document)
    for (const wake of [...this.#waiting]) wake()
  }

  #put(key: string, value: unknown): void {
    this.#values.set(key, { key, revision: this.#revision, value })
  }

  #valuesAfter(prefix: string, after: number): readonly StoredValue[] {
    return [...this.#values.values()].filter(
      ({ key, revision }) => key.startsWith(prefix) && revision > after,
    )
  }

  #swap({ key, expectedRevision, value }: StoreCompareAndSwapParams): unknown {
    const current = this.#values.get(key) ?? null
    if ((current?.revision ?? 0) !== expectedRevision) return { succeeded: false, current }
    this.#revision += 1
    this.#put(key, value)
    return { succeeded: true, revision: this.#revision }
  }

  #watch({ prefix, afterRevision, waitMilliseconds }: StoreWatchParams): Promise<unknown> {
    return new Promise(resolve => {
      const answer = (): void => {
        clearTimeout(timer)
        this.#waiting.delete(wake)
        const changed = this.#valuesAfter(prefix, afterRevision)
        resolve({ revision: this.#revision, changed, removedKeys: [] })
      }
      const wake = (): void => {
        if (this.#valuesAfter(prefix, afterRevision).length > 0) answer()
      }
      const timer = setTimeout(answer, waitMilliseconds)
      timer.unref()
      this.#waiting.add(wake)
    })
  }
}

/**
 * `knowsVersions`: whether the host list answers `unchanged` to callers that have the newest
 * version.
 */
export function fakeHostList(hosts: readonly ListedHost[], knowsVersions: boolean): FakeService {
  return new FakeService({
    'hosts.list': params => {
      const { knownVersion } = params as { knownVersion?: number }
      if (knowsVersions && knownVersion === 1) return { version: 1, unchanged: true, hosts: [] }
      return { version: 1, hosts }
    },
  })
}
