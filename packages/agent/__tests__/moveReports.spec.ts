import { describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import type { GroupRecord, Member } from '@nutmegcourse/protocol'
import {
  SeededRandom,
  SystemClock,
  attemptId,
  availabilityZoneId,
  backendServerId,
  databaseId,
  entryHostId,
  incarnation,
  regionId,
  term,
} from '@nutmegcourse/shared'
import { JsonRpcConnection, listen, openJsonRpc } from '@nutmegcourse/transport'
import { FleetTask } from '../src/fleetTask.js'
import { MoveReporter } from '../src/moveReporter.js'
import { ProxyServer } from '../src/proxyServer.js'

const LOOPBACK = '127.0.0.1'
const TIMEOUT_MILLISECONDS = 2_000
const HEARTBEAT_MILLISECONDS = 60_000
const ARRIVAL_MILLISECONDS = 100
const DATABASE = databaseId('quai-sched-1')
const COORDINATOR = entryHostId('host-2')

function movingRecord(attempt: string): GroupRecord {
  return {
    database: DATABASE,
    term: term(3),
    primary: backendServerId('a'),
    phase: { kind: 'moving', target: backendServerId('b') },
    coordinator: COORDINATOR,
    attempt: attemptId(attempt),
    termStarts: [],
  }
}

const held = (attempt: string) => ({ database: DATABASE, attempt: attemptId(attempt) })

/** The part of an agent that receives reports from its proxies and reports for its host. */
class ReportingAgent {
  readonly sent: string[] = []
  record: GroupRecord = movingRecord('first')
  readonly #server = new ProxyServer({
    reported: () => undefined,
    heldWritesChanged: database => {
      this.reporter.check(database)
    },
    unreadable: () => undefined,
  })
  readonly reporter = new MoveReporter({
    records: () => [this.record],
    holdsWrites: each => this.#server.holdsWrites(each),
    send: (coordinator, { attempt }) => this.sent.push(`${coordinator} ${attempt}`),
  })
  #port = 0

  async start(): Promise<this> {
    this.#port = await this.#server.start(LOOPBACK, 0)
    return this
  }

  async addProxy(): Promise<JsonRpcConnection> {
    const opened = await openJsonRpc(LOOPBACK, this.#port, {}, TIMEOUT_MILLISECONDS)
    const proxy = opened._unsafeUnwrap()
    await proxy.request('agent.subscribe', {}, TIMEOUT_MILLISECONDS)
    return proxy
  }

  close(): void {
    this.#server.close()
  }
}

interface HostCase {
  readonly name: string
  readonly proxies: number
  readonly act: (proxies: readonly JsonRpcConnection[], agent: ReportingAgent) => void
  readonly sent: readonly string[]
}

describe('an agent reports a planned move to its coordinator', () => {
  const cases: readonly HostCase[] = [
    {
      // Guards against a move that waits for a host without proxies.
      name: 'at once when it has no proxies',
      proxies: 0,
      act: (_proxies, agent) => {
        agent.reporter.check(DATABASE)
        agent.reporter.check(DATABASE)
      },
      sent: ['host-2 first'],
    },
    {
      // Guards against a fence that cuts the writes of a second proxy on the same host.
      name: 'not before all its proxies hold their writes',
      proxies: 2,
      act: ([first], agent) => {
        agent.reporter.check(DATABASE)
        first?.notify('agent.writesHeld', held('first'))
      },
      sent: [],
    },
    {
      // Guards against a move that waits for ever for a host with several proxies.
      name: 'once when all its proxies hold their writes',
      proxies: 2,
      act: proxies => {
        for (const proxy of proxies) proxy.notify('agent.writesHeld', held('first'))
        proxies[0]?.notify('agent.writesHeld', held('first'))
      },
      sent: ['host-2 first'],
    },
    {
      // Guards against a move that waits for a proxy that has ended.
      name: 'when the last proxy that did not hold its writes has disconnected',
      proxies: 2,
      act: ([first, second]) => {
        first?.notify('agent.writesHeld', held('first'))
        second?.close()
      },
      sent: ['host-2 first'],
    },
    {
      // Guards against a report of an earlier attempt that stands for the one that is announced.
      name: 'not for reports on another attempt',
      proxies: 1,
      act: ([first]) => first?.notify('agent.writesHeld', held('earlier')),
      sent: [],
    },
    {
      // Guards against a report on a move that has ended.
      name: 'not when the record announces no move',
      proxies: 1,
      act: ([first], agent) => {
        agent.record = { ...agent.record, phase: { kind: 'stable' } }
        first?.notify('agent.writesHeld', held('first'))
      },
      sent: [],
    },
  ]
  for (const { name, proxies: count, act, sent } of cases) {
    it(name, async () => {
      const agent = await new ReportingAgent().start()
      const proxies: JsonRpcConnection[] = []
      for (let index = 0; index < count; index += 1) proxies.push(await agent.addProxy())
      act(proxies, agent)
      await delay(ARRIVAL_MILLISECONDS)
      expect(agent.sent).toEqual([...sent])
      for (const proxy of proxies) proxy.close()
      agent.close()
    })
  }
})

class Fleet {
  readonly received: string[] = []
  readonly lost: string[] = []
  readonly task: FleetTask

  constructor(name: string, port: number) {
    this.task = new FleetTask({
      self: member(name, port),
      clock: new SystemClock(),
      random: new SeededRandom(1),
      heartbeatIntervalMilliseconds: HEARTBEAT_MILLISECONDS,
      toolHandlers: {},
      listener: {
        itemChanged: () => undefined,
        membershipChanged: () => undefined,
        confirmationChanged: () => undefined,
        opinionReceived: () => undefined,
        heldWritesReceived: ({ host, attempt }) => this.received.push(`${host} ${attempt}`),
        heldWritesLost: (coordinator, { kind }) => this.lost.push(`${coordinator} ${kind}`),
        unreadable: () => undefined,
        repairTargets: () => Promise.resolve(),
      },
    })
  }
}

function member(name: string, port: number): Member {
  return {
    entryHost: entryHostId(name),
    zone: availabilityZoneId('tanger-nord'),
    region: regionId('tanger'),
    address: LOOPBACK,
    port,
    incarnation: incarnation(1),
    status: 'alive',
  }
}

interface DeliveryCase {
  readonly name: string
  /** What the coordinator's port serves. */
  readonly coordinator: 'newAgent' | 'oldAgent' | 'nothing'
  readonly received: readonly string[]
  readonly lost: readonly string[]
}

describe('the report on held writes, without a link to the coordinator', () => {
  const cases: readonly DeliveryCase[] = [
    {
      // Guards against a move in a large fleet, where most hosts have no link to the coordinator.
      name: 'is sent over a connection of its own',
      coordinator: 'newAgent',
      received: ['host-1 first'],
      lost: [],
    },
    {
      // Guards against a coordinator of an earlier version that breaks off, or a sender that does.
      name: 'is refused by a coordinator of an earlier version, and this is noted',
      coordinator: 'oldAgent',
      received: [],
      lost: ['host-2 remote'],
    },
    {
      // Guards against an unhandled rejection when the coordinator has ended.
      name: 'is lost when the coordinator has ended, and this is noted',
      coordinator: 'nothing',
      received: [],
      lost: ['host-2 connectRefused'],
    },
  ]
  for (const { name, coordinator, received, lost } of cases) {
    it(name, async () => {
      const receiver = new Fleet('host-2', 1)
      const listening = await listen(LOOPBACK, 0, socket => {
        if (coordinator === 'newAgent') receiver.task.network.accept(socket)
        else new JsonRpcConnection(socket, {})
      })
      if (coordinator === 'nothing') listening.server.close()
      const sender = new Fleet('host-1', 1)
      sender.task.learn({ kind: 'member', member: member('host-2', listening.port) })
      await sender.task.reportHeldWrites(COORDINATOR, {
        ...held('first'),
        host: entryHostId('host-1'),
      })
      expect(receiver.received).toEqual([...received])
      expect(sender.lost).toEqual([...lost])
      sender.task.close()
      receiver.task.close()
      listening.server.close()
    })
  }
})
