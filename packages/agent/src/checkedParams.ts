/** Checks what others send before it is used: a field that is missing would otherwise fail far from here. */
import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import { isFields } from '@nutmegcourse/shared'
import { invalidParams, type RpcHandlers } from '@nutmegcourse/transport'

/** Called with what was sent and cannot be read; `detail` names the field and its value. */
export type UnreadableListener = (method: string, detail: string) => void

const DESCRIBED_CHARACTERS = 80

/** A handler for `method`, called only with readable params. Others are answered with invalid params. */
export function checkedHandler<Params>(
  method: string,
  schema: z.ZodType<Params>,
  onUnreadable: UnreadableListener,
  handle: (params: Params) => unknown,
): RpcHandlers {
  const check = (params: unknown): unknown => {
    const read = readChecked(schema, params)
    if (read.isOk()) return handle(read.value)
    onUnreadable(method, read.error)
    throw invalidParams(read.error)
  }
  return { [method]: check }
}

/** Null if it cannot be read. */
export function readOrReport<Value>(
  method: string,
  schema: z.ZodType<Value>,
  value: unknown,
  onUnreadable: UnreadableListener,
): Value | null {
  return readChecked(schema, value).match(
    read => read,
    detail => {
      onUnreadable(method, detail)
      return null
    },
  )
}

/** The readable ones of a list; the others are left out. */
export function readEach<Item>(
  method: string,
  schema: z.ZodType<Item>,
  values: readonly unknown[],
  onUnreadable: UnreadableListener,
): Item[] {
  return values.flatMap((value, index) => {
    const report: UnreadableListener = (_method, detail) => {
      onUnreadable(method, `items.${String(index)}.${detail}`)
    }
    const read = readOrReport(method, schema, value, report)
    return read === null ? [] : [read]
  })
}

function readChecked<Value>(schema: z.ZodType<Value>, value: unknown): Result<Value, string> {
  const checked = schema.safeParse(value)
  if (checked.success) return ok(checked.data)
  const [issue] = checked.error.issues
  const path = issue?.path ?? []
  const field = path.length === 0 ? 'params' : path.map(String).join('.')
  return err(`${field}: ${describe(valueAt(value, path))}: ${issue?.message ?? 'is not readable'}`)
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (within, key) =>
      Array.isArray(within)
        ? (within as unknown[])[Number(key)]
        : isFields(within)
          ? within[String(key)]
          : undefined,
    value,
  )
}

function describe(value: unknown): string {
  const text = value === undefined ? 'missing' : JSON.stringify(value)
  return text.length <= DESCRIBED_CHARACTERS ? text : `${text.slice(0, DESCRIBED_CHARACTERS)}…`
}
