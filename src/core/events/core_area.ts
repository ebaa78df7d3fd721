/** Areas of the core that call the store or peers and get the results back. */
export type CoreArea =
  | 'once'
  | 'config'
  | 'membership'
  | 'replicas'
  | 'quarantine'
  | 'routing'
  | 'audit'
  | 'targets';
