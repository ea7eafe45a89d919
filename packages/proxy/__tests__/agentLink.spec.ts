import type { Server } from 'node:net'
import { describe, it } from 'node:test'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'earl'
import { SeededRandom, attemptId, databaseId } from '@nutmegcourse/shared'
import { JsonRpcConnection, listen } from '@nutmegcourse/transport'
import { AgentLink } from '../src/agentLink.js'

const LOOPBACK = '127.0.0.1'
const DATABASE = databaseId('quai-sched-1')
const WAIT_STEP_MILLISECONDS = 10
const MOST_STEPS = 500

/** An agent that keeps the reports on held writes; one of an earlier version does not know them. */
class FakeAgent {
  readonly links: JsonRpcConnection[] = []
  readonly attempts: string[] = []
  readonly #knowsMoves: boolean
  #server: Server | null = null
  port = 0

  constructor(knowsMoves: boolean) {
    this.#knowsMoves = knowsMoves
  }

  async start(): Promise<this> {
    const listening = await listen(LOOPBACK, 0, socket => {
      this.links.push(new JsonRpcConnection(socket, this.#handlers()))
    })
    this.#server = listening.server
    this.port = listening.port
    return this
  }

  close(): void {
    this.#server?.close()
    for (const link of this.links) link.close()
  }

  #handlers(): ConstructorParameters<typeof JsonRpcConnection>[1] {
    const subscribe = { 'agent.subscribe': () => null }
    if (!this.#knowsMoves) return subscribe
    return {
      ...subscribe,
      'agent.writesHeld': params => {
        this.attempts.push((params as { readonly attempt: string }).attempt)
        return null
      },
    }
  }
}

async function waitFor(check: () => boolean): Promise<void> {
  for (let step = 0; step < MOST_STEPS && !check(); step += 1) await delay(WAIT_STEP_MILLISECONDS)
  expect(check()).toEqual(true)
}

async function withLink(
  knowsMoves: boolean,
  act: (agent: FakeAgent, link: AgentLink) => Promise<void>,
): Promise<void> {
  const agent = await new FakeAgent(knowsMoves).start()
  const events = {
    snapshot: () => undefined,
    connected: () => undefined,
    disconnected: () => undefined,
  }
  const endpoint = { address: LOOPBACK, port: agent.port }
  const link = new AgentLink(endpoint, {}, events, new SeededRandom(1))
  try {
    await waitFor(() => link.connected)
    await act(agent, link)
  } finally {
    link.close()
    agent.close()
  }
}

const held = (attempt: string) => ({ database: DATABASE, attempt: attemptId(attempt) })

describe("a proxy's report that it holds its writes", () => {
  // Guards against a restarted agent that waits for a report that its predecessor received.
  it('is repeated after a reconnect, for the newest attempt', () =>
    withLink(true, async (agent, link) => {
      link.reportHeldWrites(held('first'))
      link.reportHeldWrites(held('second'))
      await waitFor(() => agent.attempts.length === 2)
      agent.links[0]?.close()
      await waitFor(() => agent.attempts.length === 3)
      expect(agent.attempts).toEqual(['first', 'second', 'second'])
    }))

  // Guards against a report that is lost because the agent was away when the writes ended.
  it('is sent after a reconnect when there was no connection', () =>
    withLink(true, async (agent, link) => {
      agent.links[0]?.close()
      await waitFor(() => !link.connected)
      link.reportHeldWrites(held('first'))
      await waitFor(() => agent.attempts.length === 1)
    }))

  // Guards against a link that breaks, or a process that ends, when versions run side by side.
  it('leaves the link to an agent of an earlier version open', () =>
    withLink(false, async (agent, link) => {
      link.reportHeldWrites(held('first'))
      const answer = await agent.links[0]?.request('proxy.unknown', {}, 1_000)
      expect(answer?.isErr()).toEqual(true)
      expect(link.connected).toEqual(true)
      expect(agent.links.length).toEqual(1)
    }))
})
