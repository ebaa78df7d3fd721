/** Settles after the given time; the timer does not keep the process alive. */
export function sleep(ms: number): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, ms).unref();
  });
}
