import type {DomainDocument} from './domain_document.js';
import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import {documentKey} from './document_key.js';
import {readDocuments} from './read_documents.js';

/** Makes a document the current one, in the stewardship and in this node's own view of the store. */
export function adoptDocument(
  step: Step,
  stewardship: Stewardship,
  document: DomainDocument,
  version: number,
): void {
  stewardship.document = document;
  stewardship.version = version;
  removeReleased(stewardship, document);
  const key = documentKey(stewardship.domain);
  const {entries} = step.state.replicas.documentWatch;
  if ((entries.get(key)?.version ?? 0) >= version) return;
  entries.set(key, {key, version, value: JSON.stringify(document)});
  readDocuments(step, [key]);
}

function removeReleased(
  {since, grants}: Stewardship,
  {replicas}: DomainDocument,
): void {
  const ids = new Set<string>(replicas.map(({replicaId}) => replicaId));
  for (const key of since.keys()) {
    if (!ids.has(key.slice(0, key.indexOf(' ')))) since.delete(key);
  }
  const planned = replicas.filter(({state}) => state === 'planned');
  const waiting = new Set(planned.map(({replicaId}) => replicaId));
  for (const replicaId of grants.keys()) {
    if (!waiting.has(replicaId)) grants.delete(replicaId);
  }
}
