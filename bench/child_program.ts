import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';

/** A program of a benchmark in a process of its own, which says its port once it listens. */
export class ChildProgram {
  private constructor(
    private readonly child: ChildProcess,
    readonly port: number,
  ) {}

  /** @param script File beside this one. */
  static start(
    script: string,
    args: readonly string[],
    execArgv: readonly string[] = [],
  ): Promise<ChildProgram> {
    const path = fileURLToPath(new URL(script, import.meta.url));
    const child = fork(path, args, {execArgv: [...execArgv]});
    return new Promise((resolve, reject) => {
      child.once('error', reject);
      child.once('exit', code => reject(new Error(`${script}: exit ${code}`)));
      child.once('message', port => {
        resolve(new ChildProgram(child, Number(port)));
      });
    });
  }

  /** Ends the program, which leaves when its parent disconnects. */
  async close(): Promise<void> {
    const ended = new Promise(resolve => this.child.once('exit', resolve));
    this.child.disconnect();
    await ended;
  }
}
