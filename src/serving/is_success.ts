/** Whether an HTTP status is a success. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}
