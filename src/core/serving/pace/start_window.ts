/** Requests without a first event that a recovering target gets at first: one would leave it idle between each response and the next request. */
export const START_WINDOW = 2;
