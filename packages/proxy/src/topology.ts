/** The agent's last snapshot, indexed for the look-ups of each request. */
import type { ListedBackendServer, RoutingSnapshot, Targets } from '@nutmegcourse/protocol'
import type { BackendServerId, ClassName, DatabaseId } from '@nutmegcourse/shared'

export class Topology {
  #snapshot: RoutingSnapshot | null = null
  #servers: ReadonlyMap<BackendServerId, ListedBackendServer> = new Map()
  #primaries: ReadonlySet<BackendServerId> = new Set()
  #databases: ReadonlySet<DatabaseId> = new Set()
  #classes: ReadonlySet<ClassName> = new Set()

  update(snapshot: RoutingSnapshot): void {
    const servers = snapshot.groups.flatMap(group => group.backendServers)
    const primaries = snapshot.groups.flatMap(group => group.record.primary ?? [])
    this.#snapshot = snapshot
    this.#servers = new Map(servers.map(server => [server.id, server]))
    this.#primaries = new Set(primaries)
    this.#databases = new Set(snapshot.groups.map(group => group.record.database))
    this.#classes = new Set(snapshot.targets?.targets.classes.map(entry => entry.name))
  }

  /** Null until the agent has sent a snapshot. */
  get snapshot(): RoutingSnapshot | null {
    return this.#snapshot
  }

  /** Null until the operators' targets are known. */
  get targets(): Targets | null {
    return this.#snapshot?.targets?.targets ?? null
  }

  /** Whether the targets, at least one database and every database's backend servers are known. */
  get isComplete(): boolean {
    const groups = this.#snapshot?.groups ?? []
    const listed = groups.every(group => group.backendServers.length > 0)
    return this.targets !== null && groups.length > 0 && listed
  }

  findServer(id: BackendServerId): ListedBackendServer | null {
    return this.#servers.get(id) ?? null
  }

  hasDatabase(database: DatabaseId): boolean {
    return this.#databases.has(database)
  }

  hasClass(name: ClassName): boolean {
    return this.#classes.has(name)
  }

  roleOf(server: BackendServerId): 'primary' | 'replica' {
    return this.#primaries.has(server) ? 'primary' : 'replica'
  }
}
