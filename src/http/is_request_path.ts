/** Whether Node.js accepts a text as the path of a request. Its parser lets some through that can't be sent on. */
export function isRequestPath(text: string): boolean {
  return /^[\x21-\xff]+$/.test(text);
}
