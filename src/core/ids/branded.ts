/** A string that the compiler keeps apart from other strings by its brand. */
export type Branded<B extends string> = string & {readonly __brand: B};
