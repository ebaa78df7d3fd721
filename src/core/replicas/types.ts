export type {DomainDocument} from './domain_document.js';
export type {ReplicaEntry} from './replica_entry.js';
export type {ReplicasState} from './replicas_state.js';
