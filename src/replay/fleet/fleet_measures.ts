/** Measurements of a replay of VM, domain and node failures. */
export interface FleetMeasures {
  /** Configured replicas that did not serve, integrated over time. */
  readonly replicaDownSeconds: number;
  /**
   * Live VMs that a configured replica needs but that are in no serving
   * replica, integrated over time.
   */
  readonly strandedVmSeconds: number;
  /**
   * Time during which a service had fewer serving replicas than its minimum,
   * summed over services.
   */
  readonly belowMinimumSeconds: number;
  readonly orders: number;
  readonly weightLoads: number;
  readonly answered: number;
  readonly refused: number;
  /** Configured replicas that do not serve at the end. */
  readonly missingAtEnd: number;
}
