/** One record of the audit trail. */
export interface AuditRecord {
  /** Unique across all nodes, so that a record written twice is kept once. */
  readonly recordId: string;
  readonly atMs: number;
  readonly node: string;
  /** Operator name, or `system`. */
  readonly who: string;
  readonly action: 'publish' | 'drain' | 'order' | 'quarantine' | 'replica';
  /** Name or id of what was changed: a service, node, VM, replica or fingerprint. */
  readonly subject: string;
  readonly before?: string;
  readonly after?: string;
}
