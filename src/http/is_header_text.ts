/** Whether Node.js accepts a text as the value of a header. */
export function isHeaderText(text: string): boolean {
  return /^[\t\x20-\x7e\x80-\xff]*$/.test(text);
}
