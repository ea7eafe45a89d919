import { describe, it } from 'node:test'
import { expect } from 'earl'
import { errAsync, okAsync } from 'neverthrow'
import type { AgentExplainResult } from '@nutmegcourse/protocol'
import { backendServerId, databaseId, entryHostId, term } from '@nutmegcourse/shared'
import type { AgentPort } from '../src/agentPort.js'
import { explain } from '../src/commands/explainCommand.js'
import { showStatus } from '../src/commands/statusCommand.js'

const EXPLANATION: AgentExplainResult = {
  database: databaseId('sched'),
  record: {
    database: databaseId('sched'),
    term: term(7),
    primary: backendServerId('sched-b'),
    phase: { kind: 'stable' },
    coordinator: entryHostId('entry-2'),
    attempt: null,
    termStarts: [],
  },
  events: [
    { entryHost: entryHostId('entry-1'), at: 500, step: 'completed', term: 3, detail: 'long ago' },
    { entryHost: entryHostId('entry-1'), at: 1000, step: 'suspected', term: 6, detail: 'sched-a' },
    { entryHost: entryHostId('entry-2'), at: 1210, step: 'promoted', term: 7, detail: 'sched-b' },
  ],
  silentPeers: [entryHostId('entry-3')],
}

const agent: AgentPort = {
  getTargets: () => errAsync({ detail: 'refused' }),
  status: () => errAsync({ detail: 'refused' }),
  explain: () => okAsync(EXPLANATION),
  explainRouting: params =>
    okAsync({
      entryHost: entryHostId('entry-1'),
      explanations: [{ database: databaseId('sched'), lines: [`${params.kind} ${params.name}`] }],
      silentProxies: 0,
    }),
}

describe('explain', () => {
  it('lists the steps of the last change of primary and the peers that did not answer', async () => {
    const { output } = await explain(agent, { subject: 'database', name: 'sched', json: false })
    const lines = output.trimEnd().split('\n')
    expect(lines[0]).toEqual('sched: term 7, primary sched-b, stable')
    expect(lines.slice(2)).toEqual([
      '     +0 ms  entry-1  suspected (term 6) sched-a',
      '   +210 ms  entry-2  promoted (term 7) sched-b',
      '(entry-3 gave no answer; its part may be missing)',
    ])
  })

  for (const subject of ['class', 'session'] as const) {
    it(`prints the explanations of the proxies for a ${subject}`, async () => {
      const { output } = await explain(agent, { subject, name: 'x', json: false })
      expect(output).toEqual(`as the proxies of entry-1 see it\nsched:\n  ${subject} x\n`)
    })
  }
})

describe('status', () => {
  it('reports that the agent is unreachable', async () => {
    expect(await showStatus(agent, false)).toEqual({
      exitCode: 5,
      output: '',
      errorOutput: 'agent unreachable: refused',
    })
  })
})
