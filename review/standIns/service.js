/** One service with three instances in the store, and a route to it, as on the sheet of atlas-quai. */
import { Instances } from './instances.js'
import { Store } from './store.js'

export const SERVICE = 'huvo11a'
export const DATABASE = 'fiti832ti23'
export const IDS = ['i-7f3a91c2', 'i-2b60d4e8', 'i-c51977a0']
const CONNECTIONS = 23
const WORK_MILLISECONDS = 18

/** Starts the store and the instances; the first one is the primary. */
export async function startPlatform() {
  const store = new Store()
  const instances = new Instances({
    service: SERVICE,
    ids: IDS,
    connections: CONNECTIONS,
    workMilliseconds: WORK_MILLISECONDS,
  })
  const ports = await instances.listen()
  IDS.forEach((id, index) => {
    store.put(`servers/${id}`, {
      service: SERVICE,
      address: `127.0.0.1:${ports.get(id)}`,
      zone: 'tanger-nord',
      version: 'v1',
      capacity: 3,
      state: 'ready',
      cold_remaining_ms: 0,
      db_role: index === 0 ? 'primary' : 'replica',
      born: 1_790_000_000_000,
      sequence: 4,
    })
  })
  store.put('op/config', {
    version: 7,
    routes: [
      {
        name: 'r-68k7b2e',
        host: DATABASE,
        prefix: '/',
        type: 'read_your_writes',
        timeout_ms: 1000,
        target_latency_ms: 1000,
        priority: 2,
        service: SERVICE,
        max_attempts: 2,
        max_staleness_ms: 2500,
      },
    ],
    services: [{ name: SERVICE, health_path: '/health', max_conns: CONNECTIONS, sync_replicas: 1 }],
    limits: { tx_idle_ms: 3000 },
  })
  const server = await store.listen()
  return { store, instances, address: `127.0.0.1:${server.address().port}` }
}
