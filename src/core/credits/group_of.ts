import type {GroupKey} from './group_key.js';
import type {ServiceName, TargetId} from '../ids/index.js';
import {hashText} from '../membership/index.js';
import {makeId} from '../ids/index.js';

/** Mean number of targets in a group; hashing fills groups unevenly, so it is below the largest size intended. */
const GROUP_SIZE = 56;

/** Finds the group of a target in a service with `serviceSize` targets. */
export function groupOf(
  service: ServiceName,
  targetId: TargetId,
  serviceSize: number,
): GroupKey {
  const groups = Math.max(1, Math.round(serviceSize / GROUP_SIZE));
  const number = groups === 1 ? 0 : Math.floor(hashText(targetId) * groups);
  return makeId<GroupKey>(`${service}#${number}`);
}
