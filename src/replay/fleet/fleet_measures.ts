/** What a replay of a fleet's failures measured. */
export interface FleetMeasures {
  /** Stated replicas that did not serve, summed over time. */
  readonly replicaDownSeconds: number;
  /** Live VMs outside any replica that serves, beyond those that no file asks for. */
  readonly strandedVmSeconds: number;
  /** Time in which a service had fewer replicas than its minimum. */
  readonly belowMinimumSeconds: number;
  readonly orders: number;
  readonly weightLoads: number;
  readonly answered: number;
  readonly refused: number;
  /** Stated replicas that do not serve at the end. */
  readonly missingAtEnd: number;
}
