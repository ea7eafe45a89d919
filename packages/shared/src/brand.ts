/** A primitive that the compiler distinguishes from others of the same type. */
export type Brand<Primitive, Name extends string> = Primitive & { readonly __brand: Name }
