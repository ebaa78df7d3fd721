import type {AnnouncementState} from './types.js';

/** Creates the state of a node that has received no announcements from engines. */
export function createAnnouncementState(): AnnouncementState {
  return {leaving: new Map(), backoffUntilMs: new Map()};
}
