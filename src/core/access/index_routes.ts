import type {Route} from './types.js';

/** Groups routes by host, longest prefix first, so that the first match is the most specific one. */
export function indexRoutes(
  routes: readonly Route[],
): ReadonlyMap<string, readonly Route[]> {
  const byHost = new Map<string, Route[]>();
  for (const route of routes) {
    const ofHost = byHost.get(route.host);
    if (ofHost) ofHost.push(route);
    else byHost.set(route.host, [route]);
  }
  for (const ofHost of byHost.values()) {
    ofHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return byHost;
}
