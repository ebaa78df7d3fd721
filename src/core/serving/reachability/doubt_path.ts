import type {ServiceName} from '../../ids/index.js';
import type {ServingStep} from '../types.js';
import {logDecision} from '../log_decision.js';
import {probePath} from './probe_path.js';
import {resolvePath} from './resolve_path.js';

/** Takes nothing that this node observes of a service's engines as their state until one of them answers a new connection. */
export function doubtPath(
  step: ServingStep,
  service: ServiceName,
  cause: string,
): void {
  const path = resolvePath(step.state, service);
  if (path.doubtedSinceMs === undefined) {
    path.doubtedSinceMs = step.nowMs;
    logDecision(step, 'debug', 'reachability', 'path to engines in doubt', {
      service,
      cause,
    });
  }
  if (path.downSinceMs === undefined) probePath(step, service, path);
}
