/** One line of the audit trail. */
export interface AuditRecord {
  /** Unique over all nodes, so that a record written twice is kept once. */
  readonly recordId: string;
  readonly atMs: number;
  readonly node: string;
  /** Operator name, or `system`. */
  readonly who: string;
  readonly action: 'publish' | 'drain' | 'order' | 'quarantine' | 'replica';
  /** What was changed: a service, node, VM or fingerprint. */
  readonly subject: string;
  readonly before?: string;
  readonly after?: string;
}
