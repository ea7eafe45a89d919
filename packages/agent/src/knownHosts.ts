/** The entry hosts of the host list, and its backend servers by database with drains applied. */
import type { ListedEntryHost } from '@nutmegcourse/coordination'
import type { DrainList, ListedBackendServer, ListedHost } from '@nutmegcourse/protocol'
import type { DatabaseId } from '@nutmegcourse/shared'

export class KnownHosts {
  #entryHosts: readonly ListedEntryHost[] = []
  #backendServers: readonly ListedBackendServer[] = []
  #drained: ReadonlySet<string> = new Set()
  #byDatabase: ReadonlyMap<DatabaseId, readonly ListedBackendServer[]> = new Map()

  get entryHosts(): readonly ListedEntryHost[] {
    return this.#entryHosts
  }

  get byDatabase(): ReadonlyMap<DatabaseId, readonly ListedBackendServer[]> {
    return this.#byDatabase
  }

  serversOf(database: DatabaseId): readonly ListedBackendServer[] {
    return this.#byDatabase.get(database) ?? []
  }

  setList(hosts: readonly ListedHost[]): void {
    this.#entryHosts = hosts.filter(host => host.kind === 'entryHost')
    this.#backendServers = hosts.filter(host => host.kind === 'backendServer')
    this.#index()
  }

  setDrains(drains: DrainList): void {
    this.#drained = new Set(drains.backendServers)
    this.#index()
  }

  #index(): void {
    const byDatabase = new Map<DatabaseId, ListedBackendServer[]>()
    for (const server of this.#backendServers) {
      const servers = byDatabase.get(server.database) ?? []
      servers.push(this.#drained.has(server.id) ? { ...server, state: 'leaving' } : server)
      byDatabase.set(server.database, servers)
    }
    this.#byDatabase = byDatabase
  }
}
