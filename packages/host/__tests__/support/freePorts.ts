import { createServer } from 'node:net'

/** Ports of the loopback that nothing listens at, for hosts that run statements for each other. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer())
  const ports: number[] = []
  for (const server of servers) {
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const address = server.address()
    if (typeof address === 'object' && address !== null) ports.push(address.port)
  }
  for (const server of servers) await new Promise(resolve => server.close(resolve))
  return ports
}
