export type {DomainDocument} from './domain_document.js';
export type {ReplicasState} from './replicas_state.js';
