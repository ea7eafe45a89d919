/** A small stand-in of the platform's store and of its promotion call, as PROTOCOL.md describes them. */
import { createServer } from 'node:http'

const json = (outgoing, status, body) => {
  outgoing.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
}

const readBody = async incoming => {
  const chunks = []
  for await (const chunk of incoming) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? {} : JSON.parse(text)
}

export class Store {
  #items = new Map()
  #events = []
  #leases = new Map()
  #revision = 0
  #lastLease = 0
  #waiting = new Set()
  #server = null

  /** Writes an item as the operator or an instance does. */
  put(key, value, lease = 0) {
    this.#revision += 1
    this.#set(key, Buffer.from(JSON.stringify(value)).toString('base64'), lease)
    this.#wake()
  }

  async listen(host) {
    this.#server = createServer((incoming, outgoing) => {
      this.#answer(incoming, outgoing).catch(() => outgoing.destroy())
    })
    await new Promise(resolve => this.#server.listen(0, host, resolve))
    return this.#server.address().port
  }

  close() {
    for (const wake of this.#waiting) wake()
    for (const { timer } of this.#leases.values()) clearTimeout(timer)
    this.#server.closeAllConnections()
    this.#server.close()
  }

  async #answer(incoming, outgoing) {
    const url = new URL(incoming.url, 'http://store')
    const query = url.searchParams
    const body = incoming.method === 'POST' ? await readBody(incoming) : {}
    const [, , call, id] = url.pathname.split('/')
    if (url.pathname === '/promotion') return json(outgoing, 503, {})
    switch (call) {
      case 'kv-range':
        return json(outgoing, 200, this.#range(query.get('prefix') ?? '', query.get('after')))
      case 'kv-watch':
        return this.#watch(query, incoming, outgoing)
      case 'kv-key': {
        const item = this.#items.get(query.get('key'))
        return json(outgoing, item === undefined ? 404 : 200, { ...item, as_of: this.#revision })
      }
      case 'kv-txn':
        return this.#transact(body, outgoing)
      case 'kv-lease':
        return json(outgoing, 200, { lease: this.#grant(body.ttl_ms), ttl_ms: body.ttl_ms })
      case 'kv-keep':
        return json(outgoing, this.#keep(Number(id)) ? 200 : 404, {})
      case 'kv-lease-end':
        this.#endLease(Number(id))
        return json(outgoing, 200, {})
      default:
        return json(outgoing, 404, {})
    }
  }

  #range(prefix, after) {
    const keys = [...this.#items.keys()].sort()
    const found = keys.filter(key => key.startsWith(prefix) && (after === null || key > after))
    const items = found.map(key => this.#items.get(key))
    return { items, has_more: false, as_of: this.#revision }
  }

  async #watch(query, incoming, outgoing) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const until = performance.now() + Math.min(30_000, Number(query.get('wait_ms')))
    const find = () => this.#events.filter(e => e.revision > after && e.key.startsWith(prefix))
    let events = find()
    while (events.length === 0 && performance.now() < until && !incoming.destroyed) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer)
          this.#waiting.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, Math.max(1, until - performance.now()))
        this.#waiting.add(wake)
      })
      events = find()
    }
    json(outgoing, 200, { events, as_of: this.#revision })
  }

  #transact({ precondition = [], puts = [], remove = [] }, outgoing) {
    const isMet = ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision
    if (!precondition.every(isMet)) {
      const items = precondition.flatMap(({ key }) => this.#items.get(key) ?? [])
      return json(outgoing, 412, { items })
    }
    if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) return json(outgoing, 404, {})
    this.#revision += 1
    for (const { key, value, lease = 0 } of puts) this.#set(key, value, lease)
    for (const key of remove) this.#remove(key)
    this.#wake()
    return json(outgoing, 200, { revision: this.#revision })
  }

  #set(key, value, lease) {
    const created = this.#items.get(key)?.created ?? this.#revision
    const item = { key, value, revision: this.#revision, created, lease }
    this.#items.set(key, item)
    this.#events.push(item)
  }

  #remove(key) {
    if (!this.#items.delete(key)) return
    this.#events.push({ key, revision: this.#revision, deleted: true })
  }

  #wake() {
    for (const wake of [...this.#waiting]) wake()
  }

  #grant(ttl) {
    this.#lastLease += 1
    const lease = this.#lastLease
    this.#leases.set(lease, { ttl, timer: setTimeout(() => this.#endLease(lease), ttl) })
    return lease
  }

  #keep(lease) {
    const known = this.#leases.get(lease)
    if (known === undefined) return false
    clearTimeout(known.timer)
    known.timer = setTimeout(() => this.#endLease(lease), known.ttl)
    return true
  }

  #endLease(lease) {
    clearTimeout(this.#leases.get(lease)?.timer)
    if (!this.#leases.delete(lease)) return
    const keys = [...this.#items.values()].filter(item => item.lease === lease)
    if (keys.length === 0) return
    this.#revision += 1
    for (const { key } of keys) this.#remove(key)
    this.#wake()
  }
}
