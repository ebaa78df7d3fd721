/** Losses with a prompt part from which on it may be a suspect; fewer may be coincidence. */
export const MIN_PART_LOSSES = 3;
