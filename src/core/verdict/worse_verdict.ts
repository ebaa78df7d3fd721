import type {Verdict} from './verdict.js';

const VERDICT_RANK: Record<Verdict, number> = {
  'not-run': 0,
  'may-have-run': 1,
  ran: 2,
};

/** Returns the verdict of a request with two attempts: the one that is closer to `ran`. */
export function worseVerdict(a: Verdict, b: Verdict): Verdict {
  return VERDICT_RANK[a] >= VERDICT_RANK[b] ? a : b;
}
