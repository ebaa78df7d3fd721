/**
 * How a body ended: by its length, by its last chunk, with an orderly close of
 * the connection, with a reset of it, or before its end. `none`: a response of
 * this kind has no body.
 */
export type BodyEndKind =
  'length' | 'chunk' | 'close' | 'reset' | 'early' | 'none';
