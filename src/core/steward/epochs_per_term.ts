/** Number of epochs reserved for one term; far more than the replicas that a term can plan. */
export const EPOCHS_PER_TERM = 2 ** 20;
