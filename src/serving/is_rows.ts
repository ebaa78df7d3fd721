/** Whether a decoded value is a table: a list of lists. */
export function isRows(value: unknown): boolean {
  return Array.isArray(value) && value.every(row => Array.isArray(row));
}
