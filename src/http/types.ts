/** Memory for a body that is read whole. */
export interface BodyReservation {
  /** Asks for memory for more bytes; false when the body must be dropped. */
  add(sizeBytes: number): boolean;
  /** Sets what is called when the body must be dropped while it is read. */
  onRefused(listener: (fault: 'no-memory' | 'stalled') => void): void;
}
