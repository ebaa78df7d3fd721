/** What one process ends at the same time, its connections and its responses, is seen within this time. */
export const TOGETHER_MS = 50;
