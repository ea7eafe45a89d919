/**
 * Keeps a group paused from the choice of a server until its promotion takes effect. A replica that restarts, or
 * carries out a late order to resume, receives again, and one that joins the group was never paused; each may
 * acknowledge writes that the chosen server lacks if a primary that could not be stopped goes on. A server that gave no
 * answer, or one that joins, may be that primary.
 *
 * @internal
 */
import { term, type BackendServerId, type LogPosition, type Term } from '@nutmegcourse/shared'
import type { ServerReport } from '@nutmegcourse/protocol'
import type { ChosenPrimary } from './primaryChange.js'

export interface PauseGuardPorts {
  pause(server: BackendServerId, term: Term): Promise<ServerReport | null>
  stepDown(server: BackendServerId, term: Term): Promise<ServerReport | null>
  /** The group as known now. */
  members(): readonly BackendServerId[]
  onJoined(server: BackendServerId, position: LogPosition): void
}

export class PauseGuard {
  readonly #chosen: ChosenPrimary
  readonly #ports: PauseGuardPorts
  /** The members among which the server was chosen. */
  readonly #known: ReadonlySet<BackendServerId>
  /** The servers that have been paused. */
  readonly #paused: Set<BackendServerId>
  readonly #pending = new Map<BackendServerId, Promise<void>>()

  constructor(chosen: ChosenPrimary, known: ReadonlySet<BackendServerId>, ports: PauseGuardPorts) {
    this.#chosen = chosen
    this.#ports = ports
    this.#paused = new Set(chosen.frozen.map(({ server }) => server))
    this.#known = known
  }

  /** Repeats each order whose last attempt was answered or timed out. */
  repeat(): void {
    const joined = this.#ports.members().filter(server => !this.#known.has(server))
    for (const server of new Set([...this.#paused, ...joined])) {
      this.#unlessPending(server, () => this.#pause(server))
    }
    // One of them may be the primary, which goes on as long as a replica receives.
    for (const server of this.#known) {
      if (server === this.#chosen.server || this.#paused.has(server)) continue
      this.#unlessPending(server, () => this.#stop(server))
    }
  }

  /**
   * Resolves once no pause of a server that has been paused is under way. It would replace one for a later term, which
   * has to outlast the promotion that this one ends with.
   */
  async settledPauses(): Promise<void> {
    await Promise.all([...this.#paused].map(server => this.settled(server)))
  }

  /** Resolves once no pause of the server is under way. */
  async settled(server: BackendServerId): Promise<void> {
    await this.#pending.get(server)
  }

  #unlessPending(server: BackendServerId, order: () => Promise<void>): void {
    if (this.#pending.has(server)) return
    const pending = order().finally(() => {
      this.#pending.delete(server)
    })
    this.#pending.set(server, pending)
  }

  async #stop(server: BackendServerId): Promise<void> {
    await this.#ports.stepDown(server, term(this.#chosen.newestTerm + 1))
    await this.#ports.pause(server, this.#chosen.pausedFor)
  }

  async #pause(server: BackendServerId): Promise<void> {
    const report = await this.#ports.pause(server, this.#chosen.pausedFor)
    if (report === null || this.#isOfNewTerm(report)) return
    // A dead primary may return, also under another id.
    if (report.role === 'primary') {
      await this.#stop(server)
      return
    }
    if (this.#paused.has(server)) return
    this.#paused.add(server)
    this.#ports.onJoined(server, report.received)
  }

  /** In a newer term a server receives the log of the new primary, as it should. */
  #isOfNewTerm(report: ServerReport): boolean {
    const { newestTerm } = this.#chosen
    return report.term > newestTerm || report.received.term > newestTerm
  }
}
