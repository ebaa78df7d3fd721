import type {DomainDocument} from './domain_document.js';
import type {Step} from '../state/types.js';
import {logEvent} from '../state/index.js';
import {syncModelTargets} from '../targets/index.js';

/** Applies changed documents and updates the targets of their domains. */
export function readDocuments(step: Step, keys: readonly string[]): void {
  const {documentWatch, documents} = step.state.replicas;
  for (const key of keys) {
    const text = documentWatch.entries.get(key)?.value;
    if (!text) continue;
    try {
      const document = JSON.parse(text) as DomainDocument;
      documents.set(document.domain, document);
      syncModelTargets(step, document.domain);
    } catch {
      logEvent(step, 'error', 'replicas', 'document is not JSON', {key});
    }
  }
}
