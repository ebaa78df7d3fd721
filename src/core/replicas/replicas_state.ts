import type {DomainDocument} from './domain_document.js';
import type {DomainId} from '../ids/index.js';

/** Documents of the fabric domains as last read. */
export interface ReplicasState {
  readonly documents: Map<DomainId, DomainDocument>;
}
