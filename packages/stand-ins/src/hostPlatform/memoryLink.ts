/** In-memory implementation of the product's backend connections, for a `MemoryGroup`. */
import { err, ok, type Result } from 'neverthrow'
import type {
  BackendAddress,
  BackendCommand,
  BackendDialer,
  BackendLink,
  BackendRefusal,
  BackendReply,
  LinkFailure,
  ServerReport,
  SessionStatus,
} from '@nutmegcourse/protocol'
import { term, type BackendServerId, type CustomerName } from '@nutmegcourse/shared'
import type { Slots } from '../backendServer/slots.js'
import type { MemoryGroup, MemoryServer } from './memoryGroup.js'

type Reply = Result<BackendReply, LinkFailure>

/** The answer of a server that does not respond. */
const neverSettles = <Value>(): Promise<Value> => new Promise(() => undefined)

interface OpenTransaction {
  readonly isReadOnly: boolean
  readonly writes: string[]
}

export class MemoryLink implements BackendLink {
  isOpen = true
  lastReceivedAt = performance.now()
  readonly values = new Map<string, string>()
  readonly #prepared = new Map<string, 'read' | 'write'>()
  readonly #group: MemoryGroup
  readonly #server: MemoryServer
  readonly #hooks: MemoryDialerHooks
  #transaction: OpenTransaction | null = null
  #hasFailed = false
  #closeListener: ((failure: LinkFailure) => void) | null = null
  readonly #pendingReplies = new Set<(reply: Reply) => void>()

  readonly #unreachable: ReadonlySet<BackendServerId>

  constructor(
    group: MemoryGroup,
    server: MemoryServer,
    hooks: MemoryDialerHooks,
    unreachable: ReadonlySet<BackendServerId>,
    readonly customer: CustomerName | null,
  ) {
    this.#unreachable = unreachable
    this.#group = group
    this.#server = server
    this.#hooks = hooks
    server.connections += 1
  }

  get server(): BackendServerId {
    return this.#server.id
  }

  run(command: BackendCommand): Promise<Reply> {
    if (!this.isOpen) return Promise.resolve(err({ kind: 'connectionLost' }))
    return new Promise(resolve => {
      this.#pendingReplies.add(resolve)
      void this.#answer(command).then(reply => {
        if (this.#pendingReplies.delete(resolve)) resolve(reply)
      })
    })
  }

  close(): void {
    if (!this.isOpen) return
    this.isOpen = false
    this.#server.connections -= 1
    for (const resolve of this.#pendingReplies) resolve(err({ kind: 'connectionLost' }))
    this.#pendingReplies.clear()
    this.#closeListener?.({ kind: 'connectionLost' })
  }

  onClosed(listener: (failure: LinkFailure) => void): void {
    this.#closeListener = listener
  }

  async #answer(command: BackendCommand): Promise<Reply> {
    const slots = occupiesSlot(command) ? this.#hooks.slotsOf?.(this.#server.id) : undefined
    if (slots?.isFull === true && !this.#isUnresponsive()) return ok(this.#refused('busy'))
    const reply = await (slots?.run(() => this.#execute(command)) ?? this.#execute(command))
    return reply ?? neverSettles()
  }

  /** Null when it is not answered. */
  async #execute(command: BackendCommand): Promise<Reply | null> {
    await this.#simulateWork()
    if (this.#isUnresponsive()) return null
    if (this.#server.isDown) {
      this.close()
      return err({ kind: 'connectionLost' })
    }
    const fault = this.#hooks.onCommand?.(this.#server.id, command) ?? 'none'
    if (fault === 'lostBefore') return null
    if (typeof fault === 'object') {
      setTimeout(() => {
        if (!this.#server.isDown) void this.#run(command)
      }, fault.lateMilliseconds)
      return null
    }
    const reply = fault === 'failed' ? this.#refused('failed') : await this.#run(command)
    await this.#simulateWork()
    if (this.#isUnresponsive()) return null
    if (fault === 'lostAfter') return null
    if (fault === 'cutAfter') {
      this.close()
      return err({ kind: 'connectionLost' })
    }
    this.lastReceivedAt = performance.now()
    return ok(reply)
  }

  /** Answers of the server do not arrive at this host. */
  #isUnresponsive(): boolean {
    return this.#server.isSilent || this.#unreachable.has(this.#server.id)
  }

  /** Called before and after the effect, for half of the time each, so that faults can occur on both sides of it. */
  async #simulateWork(): Promise<void> {
    const { workMilliseconds = 0 } = this.#hooks
    if (workMilliseconds === 0) await Promise.resolve()
    else await new Promise(resolve => setTimeout(resolve, workMilliseconds / 2))
  }

  #run(command: BackendCommand): BackendReply | Promise<BackendReply> {
    this.#group.receive(this.#server)
    switch (command.kind) {
      case 'begin':
        return this.#begin(command)
      case 'rollback':
        this.#transaction = null
        this.#hasFailed = false
        return this.#done(null)
      case 'set':
        this.values.set(command.name, command.value)
        return this.#done(null)
      case 'prepare':
        this.#prepared.set(command.name, command.effect)
        return this.#done(null)
      case 'close':
        this.#prepared.delete(command.name)
        return this.#done(null)
      case 'reset':
        this.values.clear()
        this.#prepared.clear()
        return this.#done(null)
      case 'report':
        return this.#report()
      case 'pause':
        this.#group.pause(this.#server, command.term)
        return this.#report()
      case 'resume':
        this.#group.resume(this.#server)
        return this.#report()
      case 'stepDown':
        this.#group.stepDown(this.#server, command.term)
        return this.#report()
      case 'forward':
      case 'execute':
        return this.#runForwarded(command)
    }
  }

  #begin(command: Extract<BackendCommand, { kind: 'begin' }>): BackendReply {
    if (command.after !== null && !this.#group.hasReached(this.#server, command.after)) {
      return this.#refused('behind')
    }
    if (!command.readOnly && this.#server.role !== 'primary') return this.#refused('notPrimary')
    this.#transaction = { isReadOnly: command.readOnly, writes: [] }
    return this.#done(null)
  }

  #runForwarded(
    command: Extract<BackendCommand, { kind: 'forward' | 'execute' }>,
  ): BackendReply | Promise<BackendReply> {
    if (command.after !== null && !this.#group.hasReached(this.#server, command.after)) {
      return this.#refused('behind')
    }
    const effect = this.#effectOf(command)
    if (effect === null) return this.#refused('unknownStatement')
    const transaction = this.#transaction
    const isNoLongerPrimary =
      transaction !== null && !transaction.isReadOnly && this.#server.role !== 'primary'
    if (isNoLongerPrimary) {
      this.#hasFailed = true
      return this.#refused('notPrimary')
    }
    if (effect === 'commit') return this.#commit()
    if (effect === 'write' && this.#server.role !== 'primary') return this.#refused('notPrimary')
    this.#group.executedStatements.push(`${this.#server.id}:${command.id}`)
    this.#group.statementCustomers.push({ id: command.id, customer: this.customer })
    if (effect === 'read') return this.#done(`read-${command.id}`, [this.#lastWriteId()])
    if (transaction !== null) {
      transaction.writes.push(command.id)
      return this.#done(`write-${command.id}`)
    }
    return this.#acknowledge([command.id])
  }

  /** The row that a read returns: the last write in the server's log, so that tests can check freshness. */
  #lastWriteId(): string {
    return this.#server.log.at(-1)?.id ?? 'nothing'
  }

  #commit(): BackendReply | Promise<BackendReply> {
    const writes = this.#transaction?.writes ?? []
    this.#transaction = null
    return writes.length === 0 ? this.#done('commit') : this.#acknowledge(writes)
  }

  #acknowledge(ids: readonly string[]): BackendReply | Promise<BackendReply> {
    const { isAcknowledged, acknowledgement } = this.#group.append(this.#server, ids)
    const replyTo = (isReceived: boolean): BackendReply =>
      isReceived ? this.#done(`commit-${ids.join('+')}`) : this.#refused('timeout')
    return isAcknowledged ? replyTo(true) : acknowledgement.then(replyTo)
  }

  #effectOf(
    command: Extract<BackendCommand, { kind: 'forward' | 'execute' }>,
  ): 'read' | 'write' | 'commit' | null {
    if (command.kind === 'execute') return this.#prepared.get(command.name) ?? null
    if (command.text.startsWith('COMMIT')) return 'commit'
    return command.text.startsWith('WRITE') ? 'write' : 'read'
  }

  #report(): BackendReply {
    const { role, pausedFor } = this.#server
    const end = this.#group.lastPosition(this.#server)
    const row = `${role} ${String(this.#server.term)} ${String(end.term)}.${String(end.offset)} ${String(pausedFor)}`
    return this.#done(null, [row])
  }

  #done(signature: string | null, rows: readonly string[] = []): BackendReply {
    return { rows, outcome: { kind: 'done', signature }, ...this.#state() }
  }

  #refused(refusal: BackendRefusal): BackendReply {
    return { rows: [], outcome: { kind: 'refused', refusal, detail: refusal }, ...this.#state() }
  }

  #state(): Pick<BackendReply, 'status' | 'position'> {
    const status: SessionStatus = this.#hasFailed
      ? 'failed'
      : this.#transaction === null
        ? 'idle'
        : 'open'
    return { status, position: this.#group.lastPosition(this.#server) }
  }
}

function occupiesSlot({ kind }: BackendCommand): boolean {
  return kind === 'forward' || kind === 'execute' || kind === 'report'
}

/**
 * Fault of one command: `lostBefore` neither runs nor answers it, `lostAfter` runs it without an
 * answer, `cutAfter` runs it and closes the connection instead of answering, and `failed` answers that it failed.
 */
export type CommandFault = 'none' | 'lostBefore' | 'lostAfter' | 'cutAfter' | 'failed'

/** A command that is not answered and runs that much later. */
export interface LateCommand {
  readonly lateMilliseconds: number
}

export interface MemoryDialerHooks {
  onCommand?: (server: BackendServerId, command: BackendCommand) => CommandFault | LateCommand
  /** Duration of each command. */
  workMilliseconds?: number
  /** The slots of a server, shared by all dialers that are given the same ones; without it slots are unlimited. */
  slotsOf?: (server: BackendServerId) => Slots | undefined
}

export class MemoryDialer implements BackendDialer {
  hooks: MemoryDialerHooks = {}
  links = new Set<MemoryLink>()
  /** Servers whose packets to and from this dialer's host are dropped. */
  readonly unreachable = new Set<BackendServerId>()
  readonly #groups: readonly MemoryGroup[]

  constructor(groups: readonly MemoryGroup[]) {
    this.#groups = groups
  }

  open(
    address: BackendAddress,
    customer: CustomerName | null,
  ): {
    link: BackendLink
    opened: Promise<Result<void, LinkFailure>>
  } {
    const group = this.#groups.find(each => each.service === address.service)
    const server = group?.servers.get(address.server)
    if (group === undefined || server === undefined || server.isDown) {
      return { link: CLOSED_LINK, opened: Promise.resolve(err({ kind: 'connectionRefused' })) }
    }
    if (server.isSilent || this.unreachable.has(server.id)) {
      return { link: CLOSED_LINK, opened: neverSettles() }
    }
    if (server.connections >= group.connectionLimit) {
      const failure: LinkFailure = {
        kind: 'rejected',
        refusal: 'tooManyConnections',
        detail: 'full',
      }
      return { link: CLOSED_LINK, opened: Promise.resolve(err(failure)) }
    }
    const link = new MemoryLink(group, server, this.hooks, this.unreachable, customer)
    this.links.add(link)
    return { link, opened: Promise.resolve(ok(undefined)) }
  }

  probe(address: BackendAddress): { answered: Promise<Result<void, LinkFailure>>; cancel(): void } {
    const cancel = () => undefined
    const server = this.#groups
      .find(each => each.service === address.service)
      ?.servers.get(address.server)
    if (server?.isSilent === true || this.unreachable.has(address.server)) {
      return { answered: neverSettles(), cancel }
    }
    if (server === undefined || server.isDown) {
      return { answered: Promise.resolve(err({ kind: 'connectionRefused' })), cancel }
    }
    return { answered: Promise.resolve(ok(undefined)), cancel }
  }

  readReport(reply: BackendReply): ServerReport | null {
    const [role, termText, position, paused] = reply.rows[0]?.split(' ') ?? []
    const received = reply.position
    if (role !== 'primary' && role !== 'replica') return null
    if (received === null || position === undefined) return null
    return { role, term: term(Number(termText)), received, pausedFor: term(Number(paused)) }
  }

  /** Closes every connection to a server, as a crash of the server does. */
  closeConnections(server: BackendServerId): void {
    for (const link of this.links) if (link.server === server) link.close()
  }
}

const CLOSED_LINK: BackendLink = {
  isOpen: false,
  lastReceivedAt: 0,
  run: () => Promise.resolve(err({ kind: 'connectionLost' })),
  close: () => undefined,
  onClosed: () => undefined,
}
