/**
 * Orders to the servers of one group during a change of its primary, each over a connection of its
 * own: those for requests may all be held by transactions.
 *
 * @internal
 */
import { addMilliseconds, type BackendServerId, type Term } from '@nutmegcourse/shared'
import { ok, type Result } from 'neverthrow'
import type { BackendCommand, BackendLink, LinkFailure, ServerReport } from '@nutmegcourse/protocol'
import type { GroupOrders } from '@nutmegcourse/coordination'
import type { HostContext } from './hostContext.js'
import type { ServiceDesk } from './serviceDesk.js'
import { OVERDUE, rest, within } from './waiting.js'

/** One try of one order. A server takes a connection in tens of milliseconds, past the link too. */
const ORDER_LIMIT_MILLISECONDS = 500

/** An order whose answer was lost is given again, on a new connection. */
const ORDER_TRIES = 3

/** Between two tries, and two questions to a candidate that catches up. */
const REST_MILLISECONDS = 25

export class GroupControl implements GroupOrders {
  readonly #context: HostContext
  readonly #desk: ServiceDesk

  constructor(context: HostContext, desk: ServiceDesk) {
    this.#context = context
    this.#desk = desk
  }

  report(server: BackendServerId): Promise<ServerReport | null> {
    return this.#order(server, { kind: 'report' })
  }

  pause(server: BackendServerId, term: Term): Promise<ServerReport | null> {
    return this.#order(server, { kind: 'pause', term })
  }

  stepDown(server: BackendServerId, term: Term): Promise<ServerReport | null> {
    return this.#order(server, { kind: 'stepDown', term })
  }

  resume(server: BackendServerId): Promise<ServerReport | null> {
    return this.#order(server, { kind: 'resume' })
  }

  rest(): Promise<void> {
    return rest(REST_MILLISECONDS)
  }

  async #order(id: BackendServerId, command: BackendCommand): Promise<ServerReport | null> {
    for (let tried = 0; tried < ORDER_TRIES; tried += 1) {
      if (tried > 0) await this.rest()
      const report = await this.#orderOnce(id, command)
      if (report !== null) return report
    }
    this.#context.log.write('order_unanswered', {
      service: this.#desk.name,
      server: id,
      order: command.kind,
    })
    return null
  }

  async #orderOnce(id: BackendServerId, command: BackendCommand): Promise<ServerReport | null> {
    const server = this.#desk.server(id)
    if (server === undefined) return null
    const { clock, dialer } = this.#context
    const deadline = addMilliseconds(clock.now(), ORDER_LIMIT_MILLISECONDS)
    const idle = server.pool.takeIdleNow()
    const { link, opened } = idle === null ? dialer.open(server.address) : alreadyOpen(idle.link)
    const isOpen = await within(opened, deadline, clock)
    if (isOpen === OVERDUE || isOpen.isErr()) {
      link.close()
      return null
    }
    const reply = await within(link.run(command), deadline, clock)
    if (reply === OVERDUE || reply.isErr()) {
      link.close()
      return null
    }
    if (idle === null) link.close()
    else server.pool.release(idle)
    return dialer.readReport(reply.value)
  }
}

function alreadyOpen(link: BackendLink): {
  link: BackendLink
  opened: Promise<Result<void, LinkFailure>>
} {
  return { link, opened: Promise.resolve(ok(undefined)) }
}
