import type {
  AccessConfig,
  Route,
  ServiceSpec,
} from '../../core/access/types.js';
import type {AccessOptions} from './types.js';
import type {OrganisationId, ServiceName} from '../../core/ids/index.js';
import {SERVING_MODELS} from './serving_models.js';
import {indexRoutes} from '../../core/access/index.js';
import {makeId} from '../../core/ids/index.js';

const ORGANISATION_COUNT = 4;

/** Creates a configuration of one service with two models and three streaming routes. */
export function createServingConfig(
  service: ServiceName,
  {organisationsByKey, priorities}: AccessOptions = {},
  spec: Partial<ServiceSpec> = {},
  largeSize = 6,
): AccessConfig {
  const route = (
    name: string,
    goalMs: number,
    gapGoalMs: number,
    timeoutMs: number,
  ): Route => ({
    name,
    host: 'host',
    pathPrefix: `/${name}/`,
    kind: 'streaming',
    isResumable: true,
    isAnonymous: false,
    timeoutMs,
    goalMs,
    gapGoalMs,
    priority: priorities?.[name] ?? 1,
    maxAttempts: 2,
    shares: [{service, weight: 1}],
  });
  const routes = [
    route('chat', 400, 250, 8000),
    route('draft', 250, 200, 6000),
    route('summary', 400, 250, 5000),
  ];
  const organisations = Array.from({length: ORGANISATION_COUNT}, (_, at) => {
    const organisationId = makeId<OrganisationId>(`organisation-${at}`);
    return [`key-${at}`, {organisationId}] as const;
  });
  return {
    version: 1,
    routesByHost: indexRoutes(routes),
    organisationsByKey: organisationsByKey ?? new Map(organisations),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    services: new Map([
      [
        service,
        {
          ...spec,
          name: service,
          engine: {
            slotCount: 18,
            stepMs: 6.45,
            stepMsPerSequence: 0.14,
            readTokensPerMs: 56.1,
            stepsPerPass: 6,
            formMs: 300,
            loadsPerS: 5.5,
            concurrentLoads: 8,
            models: [
              {
                name: SERVING_MODELS.large,
                size: largeSize,
                workShare: 0.67,
                pace: 1,
                loadMs: 16_000,
                warmUpMs: 1600,
              },
              {
                name: SERVING_MODELS.small,
                size: 3,
                workShare: 0.33,
                pace: 0.6,
                loadMs: 12_000,
                warmUpMs: 1100,
              },
            ],
          },
        },
      ],
    ]),
  };
}
