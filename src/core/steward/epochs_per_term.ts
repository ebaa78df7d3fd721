/** Epochs of one term; far more replicas than a term can plan. */
export const EPOCHS_PER_TERM = 2 ** 20;
