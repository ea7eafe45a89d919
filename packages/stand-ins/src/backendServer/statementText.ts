/** Splits SQL texts, strips comments and reads literals: only what the pattern table needs, no parser. */

const COMMENT = /\/\*[\s\S]*?\*\/|--[^\n]*/g
const QUOTED_OR_SEMICOLON = /'(?:[^']|'')*'|;/g

/** A literal as a statement pattern captures it: a quoted text, a number or a parameter. */
export const LITERAL = String.raw`('(?:[^']|'')*'|\$\d+|-?\d+(?:\.\d+)?)`

/** Comment markers inside quoted literals count as comments too. */
export const withoutComments = (text: string): string =>
  text.includes('/*') || text.includes('--') ? text.replace(COMMENT, ' ').trim() : text.trim()

/** The non-empty statements of one simple query, without comments. */
export function splitStatements(text: string): readonly string[] {
  const stripped = withoutComments(text)
  const statements: string[] = []
  let start = 0
  for (const match of stripped.matchAll(QUOTED_OR_SEMICOLON)) {
    if (match[0] !== ';') continue
    statements.push(stripped.slice(start, match.index))
    start = match.index + 1
  }
  statements.push(stripped.slice(start))
  return statements.map(statement => statement.trim()).filter(statement => statement !== '')
}

export const countParameters = (text: string): number =>
  Math.max(0, ...[...text.matchAll(/\$(\d+)/g)].map(match => Number(match[1])))

/** The value of a captured literal; null for a parameter that is null or missing. */
export function literalValue(
  literal: string,
  parameters: readonly (string | null)[],
): string | null {
  if (literal.startsWith('$')) return parameters[Number(literal.slice(1)) - 1] ?? null
  if (literal.startsWith("'")) return literal.slice(1, -1).replaceAll("''", "'")
  return literal
}
