/**
 * Starts one entry host by the deploy file's command, against stand-ins of the store and of one database group, with
 * sessions that close and prepare one name again and again. Two instances turn slow by turns. Checks at the instances
 * that each EXECUTE runs the shape that its client had prepared under the name when it sent the statement.
 *
 * Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no instance turns slow.
 */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { connect, createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Group } from './group.js'
import { Store } from './store.js'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const ROOT = join(FOLDER, '..', '..')
const RECORD = join(FOLDER, 'record.txt')
const HAS_TROUBLE = process.env.TROUBLE !== '0'

const LOAD_MS = 80_000
const SESSIONS = 14
const THINK_MS = 120
/** srv_slow: work times ten, for 6 s, one instance at a time. */
const SLOWNESS = 10
const SLOW_MS = 6000
const PAUSE_MS = 1500

const SERVICE = 'db1'
const DATABASE = 'scores'
const HEARTBEAT_MS = 1200

const sleep = span => new Promise(resolve => setTimeout(resolve, span))
const startedAt = performance.now()
const lines = []
const note = text => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`)

/** An address of the loopback range of its own, so that several runs at once do not meet. */
const host = `127.${20 + (process.pid % 200)}.${(process.pid >> 8) % 250}.${1 + Math.floor(Math.random() * 250)}`

const freePort = () =>
  new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(0, host, () => {
      const { port } = server.address()
      server.close(() => resolve(port))
    })
  })

/** What the clients sent, by statement id: the definition that the name had then. */
const sent = new Map()
const runs = []
let answered = 0
let refused = 0

class Client {
  #socket = connect({ host, port: Client.port, noDelay: true })
  #text = ''
  #waiting = null
  isClosed = false

  constructor(name) {
    this.name = name
    this.#socket.on('data', chunk => {
      this.#text += chunk.toString('latin1')
      const end = /(?:^|\r\n)READY [ITE] \S+\r\n/.exec(this.#text)
      if (end !== null) this.#settle()
    })
    this.#socket.on('error', () => this.#socket.destroy())
    this.#socket.on('close', () => {
      this.isClosed = true
      this.#settle()
    })
  }

  #settle() {
    const text = this.#text
    this.#text = ''
    this.#waiting?.(text)
    this.#waiting = null
  }

  send(line) {
    if (this.isClosed) return Promise.resolve('')
    return new Promise(resolve => {
      this.#waiting = resolve
      this.#socket.write(`${line}\r\n`)
    })
  }

  end() {
    this.#socket.end('TERMINATE\r\n')
  }
}

let lastId = 0
const nextId = () => {
  lastId += 1
  return `q${lastId.toString(16).padStart(6, '0')}`
}

/** One session: after each answer it closes the name and prepares it anew, as clients that reuse names do. */
async function runSession(number, until) {
  let client = null
  for (let round = 0; performance.now() < until; round += 1) {
    if (client === null || client.isClosed) {
      client = new Client(`c${number}`)
      if (!(await client.send(`STARTUP ${DATABASE} u${number}`)).startsWith('READY')) {
        client.end()
        client = null
        await sleep(100)
        continue
      }
    }
    const shape = `s${number}r${round}`
    await client.send(`QUERY ${nextId()} PREPARE s1 READ ${shape}`)
    await sleep(THINK_MS * (0.5 + Math.random()))
    const id = nextId()
    sent.set(id, { name: 's1', effect: 'READ', shape, client: `c${number}` })
    note(`sent ${id} c${number} EXECUTE s1 (READ ${shape})`)
    const answer = await client.send(`QUERY ${id} EXECUTE s1 ${round % 97}`)
    const isDone = /(^|\r\n)DONE \S/.test(answer)
    if (isDone) answered += 1
    else refused += 1
    note(`answered ${id} ${answer.split('\r\n').slice(0, 2).join(' | ')}`)
    await client.send(`QUERY ${nextId()} CLOSE s1`)
  }
  client?.end()
}

/** Writes, so that the group's log grows. */
async function runWriter(until) {
  const client = new Client('w')
  await client.send(`STARTUP ${DATABASE} writer`)
  for (let round = 0; performance.now() < until && !client.isClosed; round += 1) {
    const id = nextId()
    sent.set(id, { effect: 'WRITE', client: 'w' })
    await client.send(`QUERY ${id} WRITE ${round % 97} d${round}`)
    await sleep(150)
  }
  client.end()
}

async function runTrouble(instances, until) {
  for (let turn = 0; performance.now() + SLOW_MS < until; turn += 1) {
    await sleep(PAUSE_MS)
    const instance = instances[turn % instances.length]
    note(`trouble: ${instance.id} is slow (x ${SLOWNESS})`)
    instance.slowness = SLOWNESS
    await sleep(SLOW_MS)
    instance.slowness = 1
    note(`trouble: ${instance.id} is as usual`)
  }
}

const isReady = port =>
  new Promise(resolve => {
    const outgoing = request({ host, port, path: '/-/ready', timeout: 500 }, incoming => {
      incoming.resume()
      resolve(incoming.statusCode === 200)
    })
    outgoing.on('error', () => resolve(false))
    outgoing.end()
  })

/** The command of the deploy file, which is split at spaces. */
function deployCommand() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
  return /^run = "(.*)"$/m.exec(text)[1].split(' ')
}

async function main(folder, children) {
  const store = new Store()
  const group = new Group(SERVICE, Math.random)
  const common = { slots: 3, limit: 6, workMs: 24, handshakeMs: 27, onRun: run => runs.push(run) }
  const instances = [
    group.add({ ...common, id: 'i-p', zone: 'salt-lake', isPrimary: true }),
    group.add({ ...common, id: 'i-a', zone: 'new-town', isPrimary: false }),
    group.add({ ...common, id: 'i-b', zone: 'matigara', isPrimary: false }),
  ]
  const storePort = await store.listen(host)
  const route = {
    name: 'r1',
    host: DATABASE,
    prefix: '/',
    type: 'read_your_writes',
    timeout_ms: 1000,
    target_latency_ms: 1000,
    priority: 2,
    service: SERVICE,
    max_attempts: 2,
    max_staleness_ms: 2500,
  }
  const service = { name: SERVICE, max_conns: common.limit, sync_replicas: 1 }
  store.put('op/config', {
    version: 1,
    routes: [route],
    services: [service],
    limits: { tx_idle_ms: 3000 },
  })
  for (const instance of instances) {
    const port = await instance.listen(host)
    let sequence = 0
    const beat = () => {
      sequence += 1
      const { id, zone, isPrimary } = instance
      store.put(`servers/${id}`, {
        service: SERVICE,
        address: `${host}:${port}`,
        zone,
        version: 'v1',
        capacity: common.slots,
        state: 'ready',
        cold_remaining_ms: 0,
        db_role: isPrimary ? 'primary' : 'replica',
        born: 1_700_000_000_000,
        sequence,
      })
    }
    beat()
    setInterval(beat, HEARTBEAT_MS).unref()
  }
  const [front, ready] = [await freePort(), await freePort()]
  Client.port = front
  const settings = {
    node_name: 'front-1',
    role: 'entry-host',
    machine_class: 'front',
    serves: ['front'],
    ip: host,
    zone: 'salt-lake',
    region: 'kolkata',
    zones: { 'salt-lake': 'kolkata', 'new-town': 'kolkata', matigara: 'siliguri' },
    listen: { front: `${host}:${front}`, ready: `${host}:${ready}` },
    internal_ports: [await freePort(), 65_000],
    seeds: [],
    bootstrap: true,
    limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4300, link_mbps: 1000 },
    data_dir: null,
    discovery: 'platform',
    entry: 'vip',
    heartbeat_ms: HEARTBEAT_MS,
    contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'platform'],
    bounds: { drain_ms: 7000, grace_s: 6, config_apply_ms: 4000, require_fence: true },
    platform: {
      address: `${host}:${storePort}`,
      form: 'kv',
      writes_per_s: 400,
      reads_per_s: 2000,
      history_s: 20,
      value_bytes: 1_048_576,
      ttl_min_ms: 1000,
    },
    cloud_api: { address: `${host}:${storePort}`, rate_per_s: 50, duties: ['promotion'] },
  }
  const path = join(folder, 'local.yaml')
  // JSON is YAML too.
  writeFileSync(path, JSON.stringify(settings, null, 2))
  const [program, ...words] = deployCommand()
  const child = spawn(program, words, {
    cwd: ROOT,
    env: { PATH: process.env.PATH, HOME: folder, NUTMEGCOURSE_BOOT: path },
    stdio: ['ignore', 'pipe', 'pipe'],
  })
  children.push(child)
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', chunk => (output += chunk))
  const limit = performance.now() + 15_000
  while (!(await isReady(ready))) {
    if (performance.now() > limit || child.exitCode !== null) {
      note(`the host did not become ready: ${output.slice(-500)}`)
      return 2
    }
    await sleep(50)
  }
  note(`the host is ready, trouble: ${HAS_TROUBLE}`)
  const until = performance.now() + LOAD_MS
  const work = [runWriter(until)]
  for (let number = 1; number <= SESSIONS; number += 1) work.push(runSession(number, until))
  if (HAS_TROUBLE) work.push(runTrouble([instances[1], instances[0]], until))
  await Promise.all(work)
  await sleep(2000)
  const hedged = output.split('"message":"read_hedged"').length - 1
  const broken = check()
  note(`${sent.size} sent, ${answered} answered, ${refused} refused, ${runs.length} runs`)
  note(`${hedged} reads were sent to a second server as well`)
  note(`${broken} runs of another shape than their client had prepared`)
  return broken > 0 ? 1 : 0
}

/** Notes each run; returns how many ran another shape than the one that the name had when its client sent the id. */
function check() {
  let broken = 0
  for (const { id, instance, effect, shape, isRefused } of runs) {
    const asked = sent.get(id)
    const isSame = asked?.effect === effect && asked?.shape === shape
    if (isSame && asked.effect === 'WRITE') continue
    note(`ran ${id} at ${instance}: ${effect} ${shape ?? ''}${isRefused ? ' (refused)' : ''}`)
    if (isSame || isRefused) continue
    broken += 1
    const prepared = `${asked?.client} had prepared ${asked?.effect} ${asked?.shape}`
    note(
      `BROKEN (PINNED): ${instance} ran ${id} as ${effect} ${shape}; ${prepared} when it sent ${id}`,
    )
  }
  return broken
}

const folder = mkdtempSync(join(tmpdir(), 'review-3-'))
const children = []
for (const signal of ['SIGINT', 'SIGTERM']) {
  process.on(signal, () => {
    for (const child of children) child.kill('SIGKILL')
    process.exit(2)
  })
}
let code = 2
try {
  code = await main(folder, children)
} catch (error) {
  note(`the case could not run: ${error.message}`)
}
for (const child of children) child.kill('SIGKILL')
rmSync(folder, { recursive: true, force: true })
writeFileSync(RECORD, '')
for (let start = 0; start < lines.length; start += 1000)
  appendFileSync(RECORD, `${lines.slice(start, start + 1000).join('\n')}\n`)
console.log(lines.slice(-3).join('\n'))
process.exit(code)
