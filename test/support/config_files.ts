/** Returns an organisations file with one organisation, `o`. */
export function createOrganisationsFile(weight = 1) {
  const text = [
    '[organisation.o]',
    `tokenSha256 = ${'0'.repeat(64)}`,
    `weight = ${weight}`,
    'maxRequestsPerSecond = 100',
    'maxInFlight = 100',
  ].join('\n');
  return {path: 'organisations.ini', text};
}

/** Returns a service file; tests use the number of replicas to distinguish its versions. */
export function createServiceFile(name: string, replicas: number) {
  const text = [
    '[service]',
    `name = ${name}`,
    'kind = model',
    'organisations = o',
    'timeout = 30s',
    '[model]',
    'model = base',
    'version = v1',
    `replicas = ${replicas}`,
    'vmsPerReplica = 2',
    'slotsPerReplica = 4',
  ].join('\n');
  return {path: `${name}.ini`, text};
}
