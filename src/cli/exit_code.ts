/** Exit codes of the command line; the help of every command lists them. */
export const EXIT_CODE = {
  done: 0,
  failed: 1,
  usage: 2,
  filesNotValid: 3,
  unreachable: 4,
  notAuthenticated: 5,
  refused: 6,
  outcomeNotKnown: 7,
  notEverywhere: 8,
} as const;
