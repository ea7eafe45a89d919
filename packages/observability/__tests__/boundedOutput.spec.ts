import { spawn } from 'node:child_process'
import { Writable } from 'node:stream'
import { describe, it } from 'node:test'
import { expect } from 'earl'
import { BoundedOutput } from '../src/index.js'

describe('BoundedOutput', () => {
  // The reader of the logs stops reading. The service must neither block nor keep all lines in memory
  // until it is killed for lack of memory.
  it('drops and counts lines that are not read', () => {
    const blocked = new Writable({ write: () => undefined })
    const output = new BoundedOutput(blocked)
    const line = `${'x'.repeat(1023)}\n`
    for (let lines = 0; lines < 1000; lines += 1) output.write(line)
    expect(blocked.writableLength < 300_000).toEqual(true)
    expect(output.dropped > 700 && output.dropped < 1000).toEqual(true)
  })

  it('does not block on a full pipe', async () => {
    const module = new URL('../src/index.js', import.meta.url).href
    const program = `
      const { openStandardOutput } = await import('${module}')
      const output = openStandardOutput()
      for (let lines = 0; lines < 2000; lines += 1) output.write('y'.repeat(1023) + '\\n')
      process.stderr.write('continued ' + String(output.dropped > 0))
      process.exit(0)`
    const child = spawn(process.execPath, ['--input-type=module', '-e', program], {
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    let errorOutput = ''
    child.stderr.on('data', (chunk: Buffer) => (errorOutput += chunk.toString()))
    const code = await new Promise(resolve => child.on('exit', resolve))
    expect([code, errorOutput]).toEqual([0, 'continued true'])
  })
})
