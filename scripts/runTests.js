// Runs the built test files under node's test runner, and settles them against KNOWN-RED.txt:
// only a failing test that is listed there may pass CI, and it is printed. Entries with another command than that of the
// tests are records of runs elsewhere.
import { existsSync, readFileSync, readdirSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { run } from 'node:test'
import { spec } from 'node:test/reporters'

const MAXIMUM_KNOWN_RED = 9
const CONCURRENT_FILES = 4

function findTests(directory) {
  return readdirSync(directory).flatMap(entry => {
    const path = join(directory, entry)
    if (statSync(path).isDirectory()) return findTests(path)
    return path.endsWith('.spec.js') ? [path] : []
  })
}

/** The entries of tests: `name | ./scripts/test … | what was seen | cause | issue`. */
function readKnownRed() {
  if (!existsSync('KNOWN-RED.txt')) return []
  return readFileSync('KNOWN-RED.txt', 'utf8')
    .split('\n')
    .filter(line => line.split(' | ')[1]?.startsWith('./scripts/test '))
}

const wanted = process.argv.slice(2)
const files = [...readdirSync('packages').map(name => join('packages', name)), 'platform']
  .map(path => join(path, 'dist', '__tests__'))
  .filter(existsSync)
  .flatMap(findTests)
  .filter(path => existsSync(path.replace('/dist/', '/').replace(/\.js$/, '.ts')))
  .filter(path => wanted.length === 0 || wanted.some(word => path.includes(word)))

const knownRed = readKnownRed()
if (knownRed.length > MAXIMUM_KNOWN_RED) {
  console.error(
    `KNOWN-RED.txt lists ${knownRed.length} tests, at most ${MAXIMUM_KNOWN_RED} may stand`,
  )
  process.exit(1)
}

let passed = 0
let failed = 0
const excused = []
const stream = run({ files, concurrency: CONCURRENT_FILES, timeout: 300_000 })
stream.on('test:pass', event => {
  if (event.details.type !== 'suite') passed += 1
})
stream.on('test:fail', event => {
  if (event.details.type === 'suite') return
  const line = knownRed.find(entry => entry.startsWith(`${event.name} |`))
  if (line === undefined) failed += 1
  else excused.push(line)
})
stream.on('end', () => {
  for (const line of excused) console.log(`known red: ${line}`)
  console.log(`${passed} passed, ${failed} failed`)
  process.exitCode = failed > 0 || passed === 0 ? 1 : 0
})
stream.compose(spec).pipe(process.stdout)
