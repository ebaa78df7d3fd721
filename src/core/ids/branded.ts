/** A nominal string type: the brand exists at compile time only and prevents mixing up IDs. */
export type Branded<B extends string> = string & {readonly __brand: B};
