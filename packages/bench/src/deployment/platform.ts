/**
 * Reads a deployment's store and host list, and changes them as operators and the platform would.
 */
import {
  groupKey,
  RECENT_CHANGES_KEPT,
  TARGETS_KEY,
  type GroupRecord,
  type ListedHost,
  type StoreCompareAndSwapResult,
  type StoredValue,
  type Targets,
  type VersionedTargets,
} from '@nutmegcourse/protocol'
import { LOG_START, term, type DatabaseId } from '@nutmegcourse/shared'
import type { HostListChange, StoreFaults } from '@nutmegcourse/stand-ins'
import { adminCall } from './adminCall.js'
import type { DeploymentPlan, PlannedDatabase } from './plan.js'

export const FIRST_TERM = term(1)
export const LOOPBACK = '127.0.0.1'

export class Platform {
  readonly storePort: number
  readonly hostListPort: number
  readonly #plan: DeploymentPlan
  readonly #leaving = new Set<string>()

  constructor(plan: DeploymentPlan, storePort: number, hostListPort: number) {
    this.#plan = plan
    this.storePort = storePort
    this.hostListPort = hostListPort
  }

  /** Writes the initial contents of the store and the host list. */
  async initialize(routes: NonNullable<HostListChange['routes']>): Promise<void> {
    await this.#setHosts({ hosts: this.#listedHosts(), routes, immediate: true })
    for (const database of this.#plan.databases) {
      await this.#compareAndSwap(groupKey(database.id), 0, firstRecord(database))
    }
    await this.applyTargets(this.#plan.shape.targets)
  }

  async markLeaving(id: string): Promise<void> {
    this.#leaving.add(id)
    await this.#setHosts({ hosts: this.#listedHosts().filter(host => host.id === id) })
  }

  async markLive(id: string): Promise<void> {
    this.#leaving.delete(id)
    await this.#setHosts({ hosts: this.#listedHosts().filter(host => host.id === id) })
  }

  async setStoreFaults(faults: StoreFaults): Promise<void> {
    await adminCall(this.storePort, 'fault.set', faults)
  }

  /** Number of calls that the store has received, by method. */
  async storeCalls(): Promise<Readonly<Record<string, number>>> {
    return adminCall(this.storePort, 'calls.count', {})
  }

  async groupRecord(database: DatabaseId): Promise<GroupRecord> {
    const stored = await this.#get(groupKey(database))
    if (stored === null) throw new Error(`no group record of ${database} in the store`)
    return stored.value as GroupRecord
  }

  /** Stores targets as the operator's tool does: as the next version, by compare-and-swap. */
  async applyTargets(targets: Targets): Promise<void> {
    const current = await this.#get(TARGETS_KEY)
    const before = (current?.value ?? null) as VersionedTargets | null
    const version = (before?.version ?? 0) + 1
    const earlier = before === null ? [] : [...before.recentChangeIds, before.changeId]
    const value: VersionedTargets = {
      version,
      changeId: `deployment-${version}`,
      changedBy: 'deployment',
      recentChangeIds: earlier.slice(-RECENT_CHANGES_KEPT),
      targets,
    }
    await this.#compareAndSwap(TARGETS_KEY, current?.revision ?? 0, value)
  }

  #get(key: string): Promise<StoredValue | null> {
    return adminCall(this.storePort, 'store.get', { key })
  }

  async #compareAndSwap(key: string, expectedRevision: number, value: unknown): Promise<void> {
    const result = await adminCall<StoreCompareAndSwapResult>(
      this.storePort,
      'store.compareAndSwap',
      { key, expectedRevision, value },
    )
    if (!result.succeeded)
      throw new Error(`compare-and-swap of ${key} failed: the key was changed concurrently`)
  }

  async #setHosts(change: HostListChange): Promise<void> {
    await adminCall(this.hostListPort, 'hosts.set', change)
  }

  #listedHosts(): readonly ListedHost[] {
    const stateOf = (id: string): 'live' | 'leaving' => (this.#leaving.has(id) ? 'leaving' : 'live')
    const { slots, connectionLimit } = this.#plan.shape
    const servers = this.#plan.databases.flatMap(database => database.servers)
    return [
      ...servers.map((server): ListedHost => ({
        kind: 'backendServer',
        ...server,
        address: LOOPBACK,
        state: stateOf(server.id),
        slots,
        connectionLimit,
      })),
      ...this.#plan.entryHosts.map((host): ListedHost => ({
        kind: 'entryHost',
        id: host.id,
        address: LOOPBACK,
        port: host.agentPort,
        zone: host.zone,
        region: host.region,
        state: stateOf(host.id),
      })),
    ]
  }
}

function firstRecord(database: PlannedDatabase): GroupRecord {
  const [primary] = database.servers
  if (primary === undefined) throw new Error('the planned database has no servers')
  return {
    database: database.id,
    term: FIRST_TERM,
    primary: primary.id,
    phase: { kind: 'stable' },
    coordinator: null,
    attempt: null,
    termStarts: [{ term: FIRST_TERM, primary: primary.id, startsAfter: LOG_START }],
  }
}
