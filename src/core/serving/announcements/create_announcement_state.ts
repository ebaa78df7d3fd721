import type {AnnouncementState} from './types.js';

/** The state of a node to which no engine has announced anything. */
export function createAnnouncementState(): AnnouncementState {
  return {leaving: new Map(), quiet: new Map()};
}
