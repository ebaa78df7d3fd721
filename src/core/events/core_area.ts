/** Areas of the core that call the store or peers and receive the results. */
export type CoreArea =
  | 'once'
  | 'config'
  | 'membership'
  | 'replicas'
  | 'quarantine'
  | 'routing'
  | 'audit'
  | 'targets';
