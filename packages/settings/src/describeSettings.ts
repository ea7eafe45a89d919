/** docs/SETTINGS.md, made from the schemas that check the settings. */
import { z } from 'zod'
import { agentSettingsSchema, ctlSettingsSchema, proxySettingsSchema } from './processSettings.js'

interface KeyDescription {
  readonly description?: string
  readonly default?: unknown
  readonly type?: string
  readonly minimum?: number
  readonly maximum?: number
  readonly enum?: readonly unknown[]
}

const DOCUMENTS = [
  { program: 'nutmegcourse-proxy', schema: proxySettingsSchema },
  { program: 'nutmegcourse-agent', schema: agentSettingsSchema },
  { program: 'nutmegcoursectl', schema: ctlSettingsSchema },
] as const

const HEADER = `# Settings

Each program reads one YAML file, named by \`--settings\`. Every mistake is told at once, with its
line. Unknown keys are refused. A place is \`{ address: <IP address>, port: <0 to 65535> }\`;
port 0 takes a free one. This page is made by \`node scripts/generateDocs.js\`.
`

export function describeSettings(): string {
  const sections = DOCUMENTS.map(({ program, schema }) => describeDocument(program, schema))
  return [HEADER, ...sections].join('\n')
}

function describeDocument(program: string, schema: z.ZodType): string {
  const { properties = {}, required = [] } = z.toJSONSchema(schema, { io: 'input' })
  const rows = Object.entries(properties).map(([key, value]) =>
    describeKey(key, value as KeyDescription, required.includes(key)),
  )
  const head = ['| key | allowed | default | meaning |', '|---|---|---|---|']
  return [`## ${program}`, '', ...head, ...rows, ''].join('\n')
}

function describeKey(key: string, value: KeyDescription, required: boolean): string {
  const standard = describeDefault(value, required)
  return `| \`${key}\` | ${describeAllowed(value)} | ${standard} | ${value.description ?? ''} |`
}

function describeDefault(value: KeyDescription, required: boolean): string {
  if (value.default !== undefined) return JSON.stringify(value.default)
  return required ? 'required' : 'absent'
}

function describeAllowed(value: KeyDescription): string {
  if (value.enum !== undefined) return value.enum.join(', ')
  if (value.type === 'object') return 'a place'
  if (value.type !== 'integer') return 'text'
  return `${value.minimum ?? 0} to ${value.maximum === Number.MAX_SAFE_INTEGER ? 'any' : (value.maximum ?? 'any')}`
}
