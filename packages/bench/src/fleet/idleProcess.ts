/**
 * Measures the processor time charged to a process that only wakes up. This is the lower bound of
 * all processor figures on a machine, which may account processor time in coarse ticks.
 */
import { spawn } from 'node:child_process'

const PROGRAM = `
  setInterval(() => undefined, 100)
  setTimeout(() => {
    const before = process.cpuUsage()
    const from = performance.now()
    setTimeout(() => {
      const { user, system } = process.cpuUsage(before)
      process.stdout.write(String((user + system) / 1000 / (performance.now() - from)))
      process.exit(0)
    }, 4000)
  }, 3000)
`

/** As a share of one core. */
export function idleProcessorShare(): Promise<number> {
  return new Promise(resolve => {
    const child = spawn(process.execPath, ['--eval', PROGRAM], {
      stdio: ['ignore', 'pipe', 'ignore'],
    })
    child.stdout.once('data', (text: Buffer) => {
      resolve(Number(text.toString()))
    })
  })
}
