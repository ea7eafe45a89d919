/** Sums the bytes sent and received over open and closed connections. */
import type { TrafficTotal } from '@nutmegcourse/protocol'
import type { JsonRpcConnection } from '@nutmegcourse/transport'

export class TrafficCounter {
  readonly #open = new Set<JsonRpcConnection>()
  #closed: TrafficTotal = { sent: 0, received: 0 }

  add(connection: JsonRpcConnection): void {
    if (this.#open.has(connection)) return
    this.#open.add(connection)
    connection.onClose(() => {
      this.#open.delete(connection)
      this.#closed = sum(this.#closed, connection.traffic)
    })
  }

  total(): TrafficTotal {
    return [...this.#open].map(connection => connection.traffic).reduce(sum, this.#closed)
  }
}

const sum = (left: TrafficTotal, right: TrafficTotal): TrafficTotal => ({
  sent: left.sent + right.sent,
  received: left.received + right.received,
})
