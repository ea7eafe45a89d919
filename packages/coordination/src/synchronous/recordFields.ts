/**
 * Reads the fields of the JSON documents that the fleet keeps in the store.
 *
 * @internal
 */
import { logPosition, type LogPosition } from '@nutmegcourse/shared'

export type Fields = Readonly<Record<string, unknown>>

export const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null

export const textOf = (fields: Fields, name: string): string | null => {
  const value = fields[name]
  return typeof value === 'string' ? value : null
}

export function readPosition(value: unknown): LogPosition | null {
  if (!isFields(value)) return null
  const { term, offset } = value
  return typeof term === 'number' && typeof offset === 'number' ? logPosition(term, offset) : null
}

/** Returns an empty object for text that is not a JSON object, so that readers find no field and return null. */
export function parse(text: string): Fields {
  try {
    const value: unknown = JSON.parse(text)
    return isFields(value) ? value : {}
  } catch {
    return {}
  }
}
