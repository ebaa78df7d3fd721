/** Time before SIGKILL at which a node that is shutting down exits, even with requests running. */
export const EXIT_MARGIN_MS = 500;
