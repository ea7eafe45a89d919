/** How each zone reaches each host: directly, or through the relay that simulates the network. */
import type { AvailabilityZoneId } from '@nutmegcourse/shared'
import { adminCall } from './adminCall.js'

export interface Destination {
  readonly id: string
  readonly zone: AvailabilityZoneId
  readonly port: number
}

export class Network {
  readonly #relayPort: number | null
  readonly #ports = new Map<string, number>()

  /** If `relayPort` is null, every zone reaches every host directly, without delay. */
  constructor(relayPort: number | null) {
    this.#relayPort = relayPort
  }

  /** Opens a route from each zone to the destination. */
  async connect(zones: readonly AvailabilityZoneId[], destination: Destination): Promise<void> {
    const { id, zone: targetZone, port } = destination
    if (this.#relayPort !== null) {
      await adminCall(this.#relayPort, 'relay.target', { target: id, port })
    }
    for (const sourceZone of zones) {
      const localPort = await this.#openRoute(sourceZone, targetZone, id, port)
      this.#ports.set(`${sourceZone} ${id}`, localPort)
    }
  }

  /** The local port through which a zone reaches a host. */
  portFrom(zone: AvailabilityZoneId, id: string): number {
    const port = this.#ports.get(`${zone} ${id}`)
    if (port === undefined) throw new Error(`no route from ${zone} to ${id}`)
    return port
  }

  async setCut(
    from: readonly AvailabilityZoneId[],
    to: readonly AvailabilityZoneId[],
    cut: boolean,
  ): Promise<void> {
    if (this.#relayPort === null) throw new Error('cuts need a deployment with a relay')
    await adminCall(this.#relayPort, 'relay.cut', { from, to, cut })
  }

  /** Resets open connections; data in transit is lost. */
  async reset(
    from: readonly AvailabilityZoneId[],
    to: readonly AvailabilityZoneId[],
  ): Promise<void> {
    if (this.#relayPort === null)
      throw new Error('connection resets need a deployment with a relay')
    await adminCall(this.#relayPort, 'relay.reset', { from, to })
  }

  /** Total bytes forwarded, by `source region>target region`. */
  async bytes(): Promise<Readonly<Record<string, number>>> {
    return this.#relayPort === null ? {} : adminCall(this.#relayPort, 'relay.bytes', {})
  }

  async #openRoute(
    sourceZone: AvailabilityZoneId,
    targetZone: AvailabilityZoneId,
    target: string,
    port: number,
  ): Promise<number> {
    if (this.#relayPort === null || sourceZone === targetZone) return port
    const params = { sourceZone, targetZone, target }
    return (await adminCall<{ port: number }>(this.#relayPort, 'relay.link', params)).port
  }
}
