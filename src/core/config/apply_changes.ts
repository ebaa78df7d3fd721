import type {ConfigChange} from './config_change.js';
import type {ConfigPublication} from './config_publication.js';
import type {OrganisationConfig} from './organisation_config.js';
import type {ServiceConfig} from './service_config.js';
import type {Step} from '../state/types.js';
import {CONFIG_TIMING} from './config_timing.js';
import {configKey} from './config_key.js';
import {countMetric, logEvent} from '../state/index.js';
import {digestText} from './digest_text.js';
import {formatFault} from './files/index.js';
import {parseOrganisationsFile, parseServiceFile} from './files/index.js';

interface Changes {
  readonly toRevision: number;
  readonly changes: readonly ConfigChange[];
  /** Newest first; at least the publications that made the changes. */
  readonly publications: readonly ConfigPublication[];
}

/**
 * Puts a higher revision in force; a lower or equal one is ignored. Returns
 * whether it was applied.
 */
export function applyChanges(step: Step, changes: Changes): boolean {
  const {config, membership} = step.state;
  const {toRevision} = changes;
  if (toRevision <= config.document.revision) return false;
  const services = new Map(config.document.services);
  let organisations = config.document.organisations;
  for (const change of changes.changes) {
    storeText(step, change);
    const name = configKey.serviceName(change.key);
    if (name === undefined) {
      organisations = readOrganisations(step, change) ?? organisations;
      continue;
    }
    const service = readService(step, change);
    if (service) services.set(name, service);
    else if (change.text === null) services.delete(name);
  }
  config.document = {revision: toRevision, services, organisations};
  mergePublications(step, changes.publications);
  delete config.reading;
  delete config.restoreAtMs;
  membership.nextHeartbeatAtMs = step.nowMs; // peers receive the revision at once
  logEvent(step, 'info', 'config', 'revision in force', {revision: toRevision});
  return true;
}

function storeText(step: Step, change: ConfigChange): void {
  const {texts, removed} = step.state.config;
  const {key, text, revision} = change;
  removed.delete(key);
  if (text !== null) {
    texts.set(key, {text, revision, digest: digestText(text)});
    return;
  }
  texts.delete(key);
  removed.set(key, revision);
  if (removed.size <= CONFIG_TIMING.maxRemoved) return;
  const [oldest, droppedRevision] = [...removed][0]!;
  removed.delete(oldest);
  const {config} = step.state;
  config.floorRevision = Math.max(config.floorRevision, droppedRevision);
}

/**
 * Parses a service text; one that this version cannot parse leaves the previous
 * service in force.
 */
function readService(
  step: Step,
  {key, text}: ConfigChange,
): ServiceConfig | undefined {
  if (text === null) return undefined;
  return parseServiceFile(key, text).match(
    service => service,
    faults => void reportUnreadable(step, key, formatFault(faults[0]!)),
  );
}

function readOrganisations(
  step: Step,
  {key, text}: ConfigChange,
): Map<string, OrganisationConfig> | undefined {
  if (text === null) return new Map();
  return parseOrganisationsFile(key, text).match(
    all => new Map(all.map(one => [one.name, one])),
    faults => void reportUnreadable(step, key, formatFault(faults[0]!)),
  );
}

function reportUnreadable(step: Step, key: string, fault: string): void {
  countMetric(step, 'configAlarms', 1, {cause: 'unreadable'});
  const message = 'accepted configuration text cannot be parsed';
  logEvent(step, 'error', 'config', message, {key, fault});
}

function mergePublications(
  step: Step,
  publications: readonly ConfigPublication[],
): void {
  const {config} = step.state;
  const newRevisions = new Set(publications.map(one => one.revision));
  const older = config.publications.filter(
    one => !newRevisions.has(one.revision),
  );
  config.publications = [...publications, ...older]
    .sort((a, b) => b.revision - a.revision)
    .slice(0, CONFIG_TIMING.maxPublications);
}
