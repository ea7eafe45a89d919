/** A document from another writer, any field of which may be missing or of another type. */
export type Fields = Readonly<Record<string, unknown>>

export const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
