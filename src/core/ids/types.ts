import type {Branded} from './branded.js';

/** Name of a node, unique in the deployment; stable across restarts. */
export type NodeId = Branded<'NodeId'>;
/** One run of a node process: `<nodeId>/<nonce>`. A restart is a new incarnation. */
export type Incarnation = Branded<'Incarnation'>;
/** Something that takes requests: a model replica, or one application-service engine. */
export type TargetId = Branded<'TargetId'>;
/** A virtual machine as the platform names it. */
export type VmId = Branded<'VmId'>;
/** A fabric domain: VMs that share a fast network. */
export type DomainId = Branded<'DomainId'>;
/** An availability zone. */
export type ZoneId = Branded<'ZoneId'>;
/** An organisation that calls services. */
export type OrganisationId = Branded<'OrganisationId'>;
/** Name of a service; callers of model services pass it as `model`. */
export type ServiceName = Branded<'ServiceName'>;
/** A model replica, unique for ever: never used again after its release. */
export type ReplicaId = Branded<'ReplicaId'>;
/** One caller's request at one node. */
export type RequestId = Branded<'RequestId'>;
/** One dispatch of a request to one target. */
export type AttemptId = Branded<'AttemptId'>;
/** Hash of organisation, service and idempotency key. */
export type OnceKey = Branded<'OnceKey'>;
/** Hash of organisation, service and body; names a request across re-sends. */
export type Fingerprint = Branded<'Fingerprint'>;
/** Ties an effect to the event that carries its result. */
export type OperationId = Branded<'OperationId'>;
/** An order to an engine. */
export type OrderId = Branded<'OrderId'>;
/** A lease of the platform's store. */
export type LeaseId = Branded<'LeaseId'>;
/** Names one operator's publication across lost answers. */
export type PublicationId = Branded<'PublicationId'>;
/** Name of a model that replicas serve. */
export type ModelName = Branded<'ModelName'>;
