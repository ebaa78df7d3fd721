/**
 * Runs work of held connections one by one, each in a turn of the event loop
 * of its own, so that new connections and other requests come in between:
 * libuv accepts one connection in a turn.
 */
export class TurnQueue {
  private readonly waiting: (() => void)[] = [];
  private isTurning = false;

  add(work: () => void): void {
    this.waiting.push(work);
    this.startTurn();
  }

  close(): void {
    this.waiting.length = 0;
  }

  private startTurn(): void {
    if (this.isTurning || this.waiting.length === 0) return;
    this.isTurning = true;
    setImmediate(() => {
      this.isTurning = false;
      this.waiting.shift()?.();
      this.startTurn();
    });
  }
}
