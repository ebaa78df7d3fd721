/** A model service of a virtual fleet, as its file would state it. */
export interface ModelService {
  readonly name: string;
  readonly version?: string;
  readonly adapters?: readonly string[];
  readonly replicas: number;
  readonly vmsPerReplica: number;
  readonly minServing?: number;
  readonly priority?: number;
}
