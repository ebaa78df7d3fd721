import type {AccessConfig, Route} from './types.js';

/** Finds the route with the longest prefix of the path among the host's routes. */
export function matchRoute(
  config: AccessConfig,
  host: string,
  path: string,
): Route | undefined {
  const routes = config.routesByHost.get(host) ?? [];
  return routes.find(route => path.startsWith(route.pathPrefix));
}
