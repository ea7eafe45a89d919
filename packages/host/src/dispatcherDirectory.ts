/**
 * The dispatchers of each service: which hosts they are, in which order this host asks them, and which part of the
 * servers' connections falls to this host if it is one of them.
 *
 * @internal
 */
import {
  dispatchersFrom,
  dispatchingRegions,
  planDispatchers,
  type DispatcherPlan,
  type HostRecord,
} from '@nutmegcourse/coordination'
import { addMilliseconds } from '@nutmegcourse/shared'
import type { ConnectionPart } from '@nutmegcourse/state'
import type { HostContext } from './hostContext.js'
import { primaryRegion, serverRegions } from './serviceRegions.js'
import type { ServiceState } from './serviceState.js'

/** A host that stands by has its region's connections for this long after another host last sent it a statement. */
const SERVING_PERIOD_MILLISECONDS = 5000

interface DispatchedService {
  readonly plan: DispatcherPlan
  readonly serverRegions: ReadonlySet<string>
  /** By the region of the primary and whether only the primary can run the statement. */
  readonly orders: Map<string, readonly string[]>
}

export class DispatcherDirectory {
  readonly #context: HostContext
  readonly #isUp: (host: string) => boolean
  readonly #services = new Map<string, DispatchedService>()

  /** `isUp`: whether statements can be sent to another host, as far as this one knows. */
  constructor(context: HostContext, isUp: (host: string) => boolean) {
    this.#context = context
    this.#isUp = isUp
  }

  /** Plans the dispatchers of a service and returns them; there are none if no host runs statements for others. */
  plan(service: ServiceState, hosts: ReadonlyMap<string, HostRecord>): readonly string[] {
    const regions = serverRegions(service, this.#context.settings)
    const plan = planDispatchers(service.name, hosts)
    this.#services.set(service.name, { plan, serverRegions: regions, orders: new Map() })
    return dispatchingRegions(plan, regions).flatMap(region => plan.get(region) ?? [])
  }

  /** All dispatchers of the service in the order in which they are asked, this host included if it is one. */
  order(service: ServiceState, atPrimary: boolean): readonly string[] {
    const planned = this.#services.get(service.name)
    if (planned === undefined) return []
    const { settings } = this.#context
    const region = primaryRegion(service, settings)
    const key = `${atPrimary} ${region ?? ''}`
    const known = planned.orders.get(key)
    if (known !== undefined) return known
    const { plan } = planned
    const target = { serverRegions: planned.serverRegions, primaryRegion: region, atPrimary }
    const order = dispatchersFrom(plan, settings.region, target)
    planned.orders.set(key, order)
    return order
  }

  /** The host to which this one sends statements for the servers of a region; null if none is planned or reached. */
  dispatcherOf(service: ServiceState, serverRegion: string): string | null {
    const { entryHost } = this.#context.settings
    const dispatchers = this.#services.get(service.name)?.plan.get(serverRegion) ?? []
    return dispatchers.find(host => host === entryHost || this.#isUp(host)) ?? null
  }

  /** The part of the connections to servers in a region that falls to this host, which is a dispatcher. */
  partOf(service: ServiceState, serverRegion: string): ConnectionPart {
    const { plan } = this.#services.get(service.name) ?? {}
    const dispatchers = plan?.get(serverRegion)
    if (dispatchers === undefined) {
      return { kind: 'holder', hosts: Math.max(1, this.order(service, false).length) }
    }
    return { kind: this.#dispatches(service, dispatchers) ? 'dispatcher' : 'standby' }
  }

  /**
   * Whether this host is the dispatcher among those of a region, or serves in its place: other hosts sent it statements,
   * which they do only if they do not reach the hosts before it, or it reaches none of these itself.
   */
  #dispatches(service: ServiceState, dispatchers: readonly string[]): boolean {
    const { settings, clock } = this.#context
    const own = dispatchers.indexOf(settings.entryHost)
    if (own < 0) return false
    if (!dispatchers.slice(0, own).some(this.#isUp)) return true
    return clock.now() < addMilliseconds(service.lastServedForOthersAt, SERVING_PERIOD_MILLISECONDS)
  }
}
