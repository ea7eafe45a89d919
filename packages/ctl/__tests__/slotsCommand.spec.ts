import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { errAsync, okAsync, type Result } from 'neverthrow'
import type { SlotStatus } from '@nutmegcourse/protocol'
import { showSlots } from '../src/commands/slotsCommand.js'
import { readSlots, type SlotsError } from '../src/slotsOverHttp.js'

const ENDPOINT = { address: '127.0.0.1', port: 9464 }

const STATUS: SlotStatus = {
  entryHost: 'host-1',
  servers: [
    {
      service: 'db-1',
      server: 'i-a',
      isPrimary: true,
      dispatcher: 'host-2',
      slots: 5,
      limit: 6,
      inFlight: 6,
      openConnections: 40,
      classes: [
        { priority: 0, waiting: 2, forecastMilliseconds: 31 },
        { priority: 2, waiting: 11, forecastMilliseconds: 904 },
      ],
    },
  ],
  customers: [
    {
      customer: 'alfa',
      slotShare: 0.425,
      waiting: 3,
      refusedPerSecond: { slots: 1.25, overdue: 0, limit: 0.5, limitUnknown: 0 },
      limitUse: { operationsPerSecond: 40, admittedPerSecond: 12.5 },
    },
    {
      customer: 'others',
      slotShare: 0.575,
      waiting: 10,
      refusedPerSecond: { slots: 0, overdue: 2, limit: 0, limitUnknown: 0 },
      limitUse: null,
    },
  ],
}

const TABLES = `as seen by host-1; a server's queue stands at its dispatcher

server  service  role     dispatcher  limit  in flight  connections  waiting by class  forecast by class (ms)
i-a     db-1     primary  host-2      6      6          40           0:2 2:11          0:31 2:904

customer  slot time  waiting  refused/s: slots  overdue  limit  limit unknown  admitted/s of limit
alfa      42.5%      3        1.3               0.0      0.5    0.0            12.5 of 40
others    57.5%      10       0.0               2.0      0.0    0.0            -
`

describe('slots', () => {
  it('prints a table of servers and one of customers', async () => {
    const result = await showSlots(() => okAsync(STATUS), ENDPOINT, false)
    expect(result).toEqual({ exitCode: 0, output: TABLES, errorOutput: '' })
  })

  it('prints what the host told with --json', async () => {
    const { output } = await showSlots(() => okAsync(STATUS), ENDPOINT, true)
    expect(JSON.parse(output)).toEqual(STATUS)
  })

  const failures = [
    [
      { kind: 'unreachable', detail: 'connect ECONNREFUSED' },
      'entry host unreachable at 127.0.0.1:9464: connect ECONNREFUSED',
    ],
    [
      { kind: 'noStatus' },
      'no status of slots at 127.0.0.1:9464: it is not the metrics address of an entry host, or the host schedules no slots',
    ],
  ] as const
  for (const [error, errorOutput] of failures) {
    it(`says why there is nothing to print: ${error.kind}`, async () => {
      const result = await showSlots(() => errAsync(error), ENDPOINT, false)
      expect(result).toEqual({ exitCode: 5, output: '', errorOutput })
    })
  }
})

async function withServer<Value>(
  body: string | null,
  run: (port: number) => Promise<Value>,
): Promise<Value> {
  const server = createServer((_incoming, outgoing) => {
    if (body !== null) outgoing.end(body)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  try {
    return await run(port)
  } finally {
    server.closeAllConnections()
    server.close()
  }
}

describe('readSlots', () => {
  const read = async (port: number): Promise<Result<SlotStatus, SlotsError>> =>
    readSlots({ address: '127.0.0.1', port }, 200)

  it('reads the status, with fields that a newer release adds', async () => {
    const sent = { ...STATUS, added: 1 }
    const result = await withServer(JSON.stringify(sent), read)
    expect(result._unsafeUnwrap()).toEqual(sent)
  })

  // Guards against a host of an earlier release, or a wrong port, printed as a fleet without load.
  const others = ['nutmegcourse_sessions 3\n', '{"servers":[]}', 'null', '']
  for (const body of others) {
    it(`takes no other answer for a status: ${JSON.stringify(body)}`, async () => {
      const result = await withServer(body, read)
      expect(result._unsafeUnwrapErr()).toEqual({ kind: 'noStatus' })
    })
  }

  it('gives a host up that does not answer', async () => {
    const result = await withServer(null, read)
    expect(result._unsafeUnwrapErr()).toEqual({ kind: 'unreachable', detail: 'no answer in time' })
  })

  it('reports a host that can not be connected to', async () => {
    const unused = await withServer('', port => Promise.resolve(port))
    const error = (await read(unused))._unsafeUnwrapErr()
    expect(error.kind).toEqual('unreachable')
  })
})
