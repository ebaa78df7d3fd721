import type {Verdict} from './verdict.js';

const RANK: Record<Verdict, number> = {
  'not-run': 0,
  'may-have-run': 1,
  ran: 2,
};

/** Joins the verdicts of two attempts of one request. */
export function worseVerdict(a: Verdict, b: Verdict): Verdict {
  return RANK[a] >= RANK[b] ? a : b;
}
