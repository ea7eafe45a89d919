/** Starts entry hosts as the deploy file does, on loopback addresses, and ends them. */
import { spawn } from 'node:child_process'
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const READY_MILLISECONDS = 20_000
const PORTS_PER_HOST = 5

export const later = span => new Promise(resolve => setTimeout(resolve, span))

const isPortFree = port =>
  new Promise(resolve => {
    const server = createServer()
    server.once('error', () => {
      resolve(false)
    })
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })

/** Ports in a row that are free now. */
async function freePorts(count) {
  for (let attempt = 0; attempt < 200; attempt += 1) {
    const base = 20_000 + Math.floor(Math.random() * 10_000)
    const ports = Array.from({ length: count }, (_, index) => base + index)
    const isFree = await Promise.all(ports.map(isPortFree))
    if (isFree.every(Boolean)) return ports
  }
  throw new Error('no free ports')
}

const settingsOf = (index, ports, store) => ({
  node_name: `front-tanger-nord-${index + 1}`,
  role: 'entry-host',
  machine_class: 'front',
  serves: ['front'],
  ip: '127.0.0.1',
  zone: 'tanger-nord',
  region: 'tanger',
  zones: { 'tanger-nord': 'tanger' },
  listen: { front: `127.0.0.1:${ports[0]}`, ready: `127.0.0.1:${ports[1]}` },
  internal_ports: [ports[2], ports[3]],
  bootstrap: true,
  limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4200 },
  heartbeat_ms: 1200,
  contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'platform'],
  bounds: { drain_ms: 7000, grace_s: 6, config_apply_ms: 4000, require_fence: true },
  platform: { address: store, writes_per_s: 400, reads_per_s: 2000, ttl_min_ms: 1000 },
  cloud_api: { address: store, duties: ['promotion'], duty_per_s: 50 },
})

async function isReady(port) {
  try {
    const { status } = await fetch(`http://127.0.0.1:${port}/-/ready`)
    return status === 200
  } catch {
    return false
  }
}

export class Hosts {
  #folder = mkdtempSync(join(tmpdir(), 'nutmegcourse-review-'))
  children = []

  /** Starts the hosts and returns the ports for clients once all are ready. */
  async start(count, storeAddress) {
    const ports = []
    for (let index = 0; index < count; index += 1) {
      const own = await freePorts(PORTS_PER_HOST)
      ports.push(own)
      this.#spawn(index, own, storeAddress)
    }
    const limit = performance.now() + READY_MILLISECONDS
    for (const [, ready] of ports) {
      while (!(await isReady(ready))) {
        if (performance.now() > limit) throw new Error('a host was not ready within 20 s')
        await later(50)
      }
    }
    return ports.map(([front]) => front)
  }

  #spawn(index, ports, storeAddress) {
    const path = join(this.#folder, `local-${index}.yaml`)
    // JSON is YAML.
    writeFileSync(path, JSON.stringify(settingsOf(index, ports, storeAddress)))
    const log = openSync(join(this.#folder, `host-${index}.log`), 'a')
    const command = ['--max-old-space-size=160', 'target/nutmegcourse-host.mjs']
    const child = spawn(process.execPath, [...command, '--metrics-port', String(ports[4])], {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, NUTMEGCOURSE_BOOT: path },
      stdio: ['ignore', log, log],
    })
    this.children.push(child)
  }

  end() {
    for (const child of this.children) if (child.exitCode === null) child.kill('SIGKILL')
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

/** Runs the case; the process ends with its result, or with 2 if it could not run. */
export function runCase(hosts, run) {
  const end = code => {
    hosts.end()
    process.exit(code)
  }
  process.on('SIGTERM', () => {
    end(2)
  })
  run().then(end, error => {
    console.error(error)
    end(2)
  })
}
