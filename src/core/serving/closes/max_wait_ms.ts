/** A closed body is decided on by then: peers corroborate the end of a process sooner, and callers give a stream up after 2 s. */
export const MAX_WAIT_MS = 1000;
