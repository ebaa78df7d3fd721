import {makeId, type ServiceName} from '../ids/index.js';

const SERVICE_PREFIX = 'service/';

/** Names of the parts that a configuration is made of: one for each service, one for all organisations. */
export const configKey = {
  organisations: 'organisations',

  service: (name: string) => SERVICE_PREFIX + name,

  /** Undefined for the organisations. */
  serviceName: (key: string): ServiceName | undefined =>
    key.startsWith(SERVICE_PREFIX)
      ? makeId<ServiceName>(key.slice(SERVICE_PREFIX.length))
      : undefined,

  /** Where the store keeps a text: under its digest, so that a write never changes another. */
  storeKey: (key: string, digest: string) =>
    key.startsWith(SERVICE_PREFIX)
      ? `config/services/${key.slice(SERVICE_PREFIX.length)}/${digest}`
      : `config/organisations/${digest}`,
};
