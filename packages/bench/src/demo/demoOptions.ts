/** Command line options of the demo. */
import { parseArgs } from 'node:util'

export interface DemoOptions {
  readonly deployment: 'atlas-quai' | 'shutterbaithak'
  readonly seconds: number
  readonly seed: number
  readonly entryHosts: number
}

const USAGE = `Usage: ./scripts/demo [--deployment atlas-quai|shutterbaithak] [--seconds N] [--seed N]
                      [--entry-hosts N]

Runs a small deployment on this machine, kills a primary, restarts it, moves it as planned, and
compares the answers that callers received with the contents of the databases. The last line is one
JSON object. The exit code is 1 if any write was lost or ran twice, or any read was stale.
`

const MIN_SECONDS = 10

/** Prints the usage and exits if the arguments are invalid. */
export function readDemoOptions(args: readonly string[]): DemoOptions {
  try {
    const { values } = parseArgs({
      args: [...args],
      options: {
        deployment: { type: 'string', default: 'atlas-quai' },
        seconds: { type: 'string', default: '30' },
        seed: { type: 'string', default: '1' },
        'entry-hosts': { type: 'string', default: '6' },
        help: { type: 'boolean', short: 'h', default: false },
      },
    })
    if (values.help) exitWithText(0, USAGE)
    const { deployment } = values
    if (deployment !== 'atlas-quai' && deployment !== 'shutterbaithak') {
      return exitWithText(2, `unknown deployment: ${deployment}\n${USAGE}`)
    }
    return {
      deployment,
      seconds: readNumber('seconds', values.seconds, MIN_SECONDS),
      seed: readNumber('seed', values.seed, 0),
      entryHosts: readNumber('entry-hosts', values['entry-hosts'], 1),
    }
  } catch (error) {
    return exitWithText(2, `${error instanceof Error ? error.message : String(error)}\n${USAGE}`)
  }
}

function readNumber(name: string, text: string, least: number): number {
  const value = Number(text)
  if (Number.isSafeInteger(value) && value >= least) return value
  throw new Error(`--${name} takes a whole number of ${least} or more, not ${text}`)
}

function exitWithText(code: number, text: string): never {
  process.stderr.write(text)
  process.exit(code)
}
