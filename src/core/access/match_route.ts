import type {AccessConfig, Route} from './types.js';

/** Finds the host's route with the longest matching path prefix; undefined if none matches. */
export function matchRoute(
  config: AccessConfig,
  host: string,
  path: string,
): Route | undefined {
  const routes = config.routesByHost.get(host) ?? [];
  return routes.find(route => path.startsWith(route.pathPrefix));
}
