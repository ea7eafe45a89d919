/**
 * Recognizes a primary that restarted without its log: it reports that it leads, but lacks what a replica has. A
 * replica may merely have received more since the primary reported, so the primary is then asked once more.
 *
 * @internal
 */
import type { BackendServerId } from '@nutmegcourse/shared'
import type { ServerReport } from '@nutmegcourse/protocol'

interface Leader {
  readonly server: BackendServerId
  offset: number
}

export class LeaderCheck {
  readonly #commands: { report(server: BackendServerId): Promise<ServerReport | null> }
  readonly #withoutLog: Set<BackendServerId>
  readonly #unconfirmed = new Set<BackendServerId>()
  readonly #leaders: Leader[] = []
  readonly #pending = new Map<BackendServerId, Promise<void>>()
  #furthestReplica = 0

  /** Adds the servers that it recognizes to `withoutLog`. */
  constructor(
    commands: { report(server: BackendServerId): Promise<ServerReport | null> },
    withoutLog: Set<BackendServerId>,
  ) {
    this.#commands = commands
    this.#withoutLog = withoutLog
  }

  /** Adds a report as soon as it has arrived. */
  add(server: BackendServerId, { role, received }: ServerReport): void {
    if (role === 'primary') this.#leaders.push({ server, offset: received.offset })
    else this.#furthestReplica = Math.max(this.#furthestReplica, received.offset)
    for (const leader of this.#leaders) {
      if (leader.offset < this.#furthestReplica) this.#ask(leader)
    }
  }

  /** Resolves when every primary has answered again that had to. */
  async settled(): Promise<void> {
    await Promise.all(this.#pending.values())
  }

  /** Whether the server is known to hold what the replicas reported. */
  isConfirmed(server: BackendServerId): boolean {
    return !this.#unconfirmed.has(server) && !this.#withoutLog.has(server)
  }

  #ask(leader: Leader): void {
    if (this.#pending.has(leader.server)) return
    this.#pending.set(leader.server, this.#compare(leader, this.#furthestReplica))
  }

  async #compare(leader: Leader, wanted: number): Promise<void> {
    const report = await this.#commands.report(leader.server)
    leader.offset = Math.max(leader.offset, report?.received.offset ?? 0)
    if (report === null) this.#unconfirmed.add(leader.server)
    else if (report.received.offset < wanted) this.#withoutLog.add(leader.server)
  }
}
