/**
 * The furthest positions that the servers of one service answered statements with. When another server answers as
 * primary for the first time, its log is compared with them. This covers changes that another host made.
 *
 * @internal
 */
import { findServersAhead, type SeenPosition, type ServerAhead } from '@nutmegcourse/coordination'
import { isAtOrPast, term, type BackendServerId, type LogPosition } from '@nutmegcourse/shared'

interface ServerPosition {
  readonly server: BackendServerId
  readonly at: LogPosition
}

export class PrimaryPositions {
  #primary: BackendServerId | null = null
  #ofPrimary: ServerPosition | null = null
  #ofReplica: ServerPosition | null = null

  /** Returns the servers that were ahead of the log of a new primary; nothing for the further answers of the same one. */
  recordPrimary(server: BackendServerId, at: LogPosition): readonly ServerAhead[] {
    const ahead = server === this.#primary ? [] : this.#findAhead(server, at)
    if (server !== this.#primary) {
      this.#primary = server
      this.#ofPrimary = null
      this.#ofReplica = null
    }
    this.#ofPrimary = furtherOf(this.#ofPrimary, { server, at })
    return ahead
  }

  recordReplica(server: BackendServerId, at: LogPosition): void {
    if (server === this.#primary) this.#ofPrimary = furtherOf(this.#ofPrimary, { server, at })
    else this.#ofReplica = furtherOf(this.#ofReplica, { server, at })
  }

  #findAhead(server: BackendServerId, received: LogPosition): readonly ServerAhead[] {
    const [last, replica] = [this.#ofPrimary, this.#ofReplica]
    const seen: SeenPosition[] = []
    if (last !== null) seen.push({ ...last, mayHaveLed: true })
    // A replica may have received more of the new term before the answer of its primary arrived.
    if (replica !== null && replica.at.term < received.term) {
      seen.push({ ...replica, mayHaveLed: false })
    }
    // A primary that has written nothing yet answers with the last position of the term before its own.
    const newest = Math.max(received.term - 1, ...seen.map(({ at }) => at.term))
    return findServersAhead({ server, term: term(newest + 1), received }, seen)
  }
}

const furtherOf = (known: ServerPosition | null, other: ServerPosition): ServerPosition =>
  known !== null && isAtOrPast(known.at, other.at) ? known : other
