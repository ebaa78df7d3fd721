/** Losses of requests with the same content from which on they are suspects; one may be coincidence. */
export const MIN_REQUEST_LOSSES = 2;
