import { exploreChange } from './changeExploration.js'
import { CASES, startOf } from './claimCases.js'
import type { Fault } from './claimProgram.js'
import type { WorldVariant } from './groupWorld.js'

const [word = '', limit = '150000', fault = 'none', variant = 'faithful'] = process.argv.slice(2)
for (const given of CASES.filter(({ name }) => name.includes(word))) {
  const startedAt = performance.now()
  const { loss, ...figures } = await exploreChange(
    startOf(given, fault as Fault, variant as WorldVariant),
    Number(limit),
  )
  console.log(
    given.name,
    JSON.stringify(figures),
    `${String(Math.round(performance.now() - startedAt))} ms`,
  )
  if (loss !== null) console.log(loss.map(step => `  ${step}`).join('\n'))
}
