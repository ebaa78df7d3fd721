/** Configuration of a model service in a virtual fleet; absent fields have defaults. */
export interface ModelService {
  readonly name: string;
  readonly version?: string;
  readonly adapters?: readonly string[];
  readonly replicas: number;
  readonly vmsPerReplica: number;
  readonly minServing?: number;
  readonly priority?: number;
}
