import { after, before, describe, it } from 'node:test'
import { expect } from 'earl'
import {
  POSITION_STATEMENT,
  TARGETS_KEY,
  fenceStatement,
  promoteStatement,
  type StoredValue,
  type VersionedTargets,
} from '@nutmegcourse/protocol'
import { term } from '@nutmegcourse/shared'
import { adminCall, askBackendServer, Deployment } from '../src/index.js'
import { eventually } from './eventually.js'

describe('deployment without a fleet', () => {
  let deployment: Deployment
  before(async () => {
    deployment = await Deployment.start({
      shape: 'atlas-quai',
      databases: 1,
      entryHosts: 2,
      network: true,
      fleet: false,
    })
  })
  after(() => deployment.stop())

  it('replicates between zones', async () => {
    const [primary, ...replicas] = deployment.database(0).servers
    await askBackendServer(primary?.port ?? 0, "INSERT INTO events (id, value) VALUES ('e', '1')")
    for (const replica of replicas) {
      await eventually(async () => {
        const [row] = await askBackendServer(replica.port, POSITION_STATEMENT)
        expect(row).toEqual(['replica', '1', '2', '1'])
      })
    }
    expect(await deployment.interRegionBytes()).toBeGreaterThan(0)
  })

  it('stops replication while a zone is isolated and resumes it afterwards', async () => {
    const [primary, , replica] = deployment.database(0).servers
    if (primary === undefined || replica === undefined) throw new Error('a server is missing')
    await deployment.isolate(replica.zone)
    await askBackendServer(primary.port, "INSERT INTO events (id, value) VALUES ('f', '1')")
    await new Promise(resolve => setTimeout(resolve, 100))
    expect((await askBackendServer(replica.port, POSITION_STATEMENT))[0]?.[2]).toEqual('2')
    await deployment.rejoin(replica.zone)
    await eventually(async () => {
      expect((await askBackendServer(replica.port, POSITION_STATEMENT))[0]?.[2]).toEqual('3')
    })
  })

  it('reads the contents of the server with the highest log position, also after a server was killed', async () => {
    const database = deployment.database(0)
    const [primary, other] = database.servers
    if (primary === undefined || other === undefined) throw new Error('a server is missing')
    await deployment.kill(primary.id)
    await askBackendServer(other.port, fenceStatement(term(2)))
    await askBackendServer(other.port, promoteStatement(term(2)))
    await askBackendServer(other.port, "INSERT INTO events (id, value) VALUES ('g', '1')")
    await deployment.process(primary.id).start()
    const contents = await deployment.contents(database)
    expect(contents.events.map(([id]) => id)).toEqual(['e', 'f', 'g'])
    expect(contents.position).toEqual(expect.subset({ term: term(2) }))
  })

  it('stores the initial group records and targets', async () => {
    const record = await deployment.platform.groupRecord(deployment.database(0).id)
    expect(record.primary).toEqual(deployment.database(0).servers[0]?.id ?? null)
    const { storePort } = deployment.platform
    const stored = await adminCall<StoredValue>(storePort, 'store.get', { key: TARGETS_KEY })
    expect((stored.value as VersionedTargets).version).toEqual(1)
  })
})
