/** Host name of a Host header in lower case, without the port. */
export function hostOf(header: string | undefined): string {
  return (header ?? '').replace(/:\d+$/, '').toLowerCase();
}
