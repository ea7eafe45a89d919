/** A small stand-in for the platform's store and its call to promote, over HTTP, as PROTOCOL.md describes them. */
import { createServer } from 'node:http'

const base64 = value => Buffer.from(JSON.stringify(value), 'utf8').toString('base64')

export class Store {
  #revision = 1
  #items = new Map()
  #events = []
  #leases = new Map()
  #lastLease = 100
  #waiting = new Set()
  /** Calls to promote that arrived, as texts. */
  promotions = []

  /** Writes an item in the name of the operator or of an instance. */
  put(key, value) {
    this.#write(key, base64(value), 0)
  }

  listen() {
    const server = createServer((request, response) => {
      void this.#answer(request).then(({ status, body }) => {
        response.writeHead(status, { 'Content-Type': 'application/json' })
        response.end(body === undefined ? '' : JSON.stringify(body))
      })
    })
    return new Promise(resolve => {
      server.listen(0, '127.0.0.1', () => {
        resolve(server)
      })
    })
  }

  #write(key, value, lease) {
    this.#revision += 1
    const created = this.#items.get(key)?.created ?? this.#revision
    const item = { key, value, revision: this.#revision, created, lease }
    this.#items.set(key, item)
    this.#publish(item)
  }

  #remove(key) {
    if (!this.#items.delete(key)) return
    this.#revision += 1
    this.#publish({ key, revision: this.#revision, deleted: true })
  }

  #publish(event) {
    this.#events.push(event)
    for (const wake of this.#waiting) wake()
    this.#waiting.clear()
  }

  async #answer(request) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const text = Buffer.concat(chunks).toString('utf8')
    const body = text === '' ? {} : JSON.parse(text)
    const url = new URL(request.url, 'http://store')
    const query = name => url.searchParams.get(name) ?? ''
    switch (url.pathname) {
      case '/-/kv-range':
        return this.#range(query('prefix'))
      case '/-/kv-watch':
        return this.#watch(query('prefix'), Number(query('after')), Number(query('wait_ms')))
      case '/-/kv-key': {
        const item = this.#items.get(query('key'))
        return item === undefined ? { status: 404 } : { status: 200, body: item }
      }
      case '/-/kv-lease':
        return this.#grant(body.ttl_ms)
      case '/-/kv-txn':
        return this.#change(body)
      case '/promotion':
        this.promotions.push(`${body.service} ${body.id}`)
        return { status: 409 }
    }
    const lease = Number(url.pathname.split('/').at(-1))
    if (url.pathname.startsWith('/-/kv-keep/')) return this.#keep(lease)
    if (url.pathname.startsWith('/-/kv-lease-end/')) {
      this.#endLease(lease)
      return { status: 200 }
    }
    return { status: 404 }
  }

  #range(prefix) {
    const items = [...this.#items.values()].filter(({ key }) => key.startsWith(prefix))
    return { status: 200, body: { items, has_more: false, as_of: this.#revision } }
  }

  async #watch(prefix, after, wait) {
    const until = performance.now() + wait
    for (;;) {
      const events = this.#events.filter(
        ({ key, revision }) => revision > after && key.startsWith(prefix),
      )
      const left = until - performance.now()
      if (events.length > 0 || left <= 0) {
        return { status: 200, body: { events, as_of: this.#revision } }
      }
      await new Promise(resolve => {
        const timer = setTimeout(resolve, left)
        this.#waiting.add(() => {
          clearTimeout(timer)
          resolve()
        })
      })
    }
  }

  #grant(lifetime) {
    this.#lastLease += 1
    this.#leases.set(this.#lastLease, { lifetime, timer: null })
    this.#keep(this.#lastLease)
    return { status: 200, body: { lease: this.#lastLease, ttl_ms: lifetime } }
  }

  #keep(number) {
    const lease = this.#leases.get(number)
    if (lease === undefined) return { status: 404 }
    clearTimeout(lease.timer)
    lease.timer = setTimeout(() => {
      this.#endLease(number)
    }, lease.lifetime)
    lease.timer.unref()
    return { status: 200, body: { ttl_ms: lease.lifetime } }
  }

  #endLease(number) {
    clearTimeout(this.#leases.get(number)?.timer)
    if (!this.#leases.delete(number)) return
    for (const { key, lease } of [...this.#items.values()]) if (lease === number) this.#remove(key)
  }

  #change({ precondition = [], puts = [], remove = [] }) {
    const current = key => this.#items.get(key)?.revision ?? 0
    if (precondition.some(({ key, revision }) => current(key) !== revision)) {
      const items = precondition.flatMap(({ key }) => this.#items.get(key) ?? [])
      return { status: 412, body: { items } }
    }
    if (puts.some(({ lease }) => lease !== 0 && !this.#leases.has(lease))) return { status: 404 }
    for (const { key, value, lease } of puts) this.#write(key, value, lease)
    for (const key of remove) this.#remove(key)
    return { status: 200, body: { revision: this.#revision } }
  }
}
