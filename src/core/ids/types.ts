import type {Branded} from './branded.js';

/** Name of a node; unique in the deployment and stable across restarts. */
export type NodeId = Branded<'NodeId'>;
/** One run of a node process: `<nodeId>/<nonce>`. A restart is a new incarnation. */
export type Incarnation = Branded<'Incarnation'>;
/** A destination of requests: a model replica, or one application-service engine. */
export type TargetId = Branded<'TargetId'>;
/** Platform-assigned name of a VM. */
export type VmId = Branded<'VmId'>;
/** A fabric domain: a set of VMs connected by a fast network. */
export type DomainId = Branded<'DomainId'>;
/** An availability zone. */
export type ZoneId = Branded<'ZoneId'>;
/** An organisation whose callers use services. */
export type OrganisationId = Branded<'OrganisationId'>;
/** Name of a service; callers of model services send it as `model`. */
export type ServiceName = Branded<'ServiceName'>;
/** A model replica; never reused after the replica is released. */
export type ReplicaId = Branded<'ReplicaId'>;
/** A caller's request at one node. */
export type RequestId = Branded<'RequestId'>;
/** A single dispatch of a request to a target. */
export type AttemptId = Branded<'AttemptId'>;
/** Hash of organisation, service and idempotency key. */
export type OnceKey = Branded<'OnceKey'>;
/** Hash of organisation, service and body; identifies a request that a caller sends again. */
export type Fingerprint = Branded<'Fingerprint'>;
/** A part of a prompt that several requests may share, such as a system prompt or a document. */
export type PromptPartId = Branded<'PromptPartId'>;
/** Correlates an effect with the event that carries its result. */
export type OperationId = Branded<'OperationId'>;
/** An order to an engine. */
export type OrderId = Branded<'OrderId'>;
/** A lease of the platform's store. */
export type LeaseId = Branded<'LeaseId'>;
/** Identifies an operator's publication, so that it is recognised when sent again after a lost response. */
export type PublicationId = Branded<'PublicationId'>;
/** Name of a model, as served by replicas. */
export type ModelName = Branded<'ModelName'>;
