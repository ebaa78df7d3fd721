import {makeId, type ServiceName} from '../ids/index.js';

const SERVICE_PREFIX = 'service/';

/** Keys of the parts of a configuration: one for each service, one for all organisations. */
export const configKey = {
  organisations: 'organisations',

  service: (name: string) => SERVICE_PREFIX + name,

  /** Returns the service of a part; undefined for the organisations. */
  serviceName: (key: string): ServiceName | undefined =>
    key.startsWith(SERVICE_PREFIX)
      ? makeId<ServiceName>(key.slice(SERVICE_PREFIX.length))
      : undefined,

  /**
   * Store key of a text. It contains the digest, so that a write never
   * overwrites a different text.
   */
  storeKey: (key: string, digest: string) =>
    key.startsWith(SERVICE_PREFIX)
      ? `config/services/${key.slice(SERVICE_PREFIX.length)}/${digest}`
      : `config/organisations/${digest}`,
};
