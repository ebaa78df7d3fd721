import type {Verdict} from './verdict.js';

const RANK: Record<Verdict, number> = {
  'not-run': 0,
  'may-have-run': 1,
  ran: 2,
};

/** Returns the verdict of a request with two attempts: the one that is closer to `ran`. */
export function worseVerdict(a: Verdict, b: Verdict): Verdict {
  return RANK[a] >= RANK[b] ? a : b;
}
