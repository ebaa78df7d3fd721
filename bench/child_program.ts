import {fork, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';

/** A benchmark program in a child process, which sends its port over IPC once it listens. */
export class ChildProgram {
  private constructor(
    private readonly child: ChildProcess,
    readonly port: number,
  ) {}

  /**
   * Rejects when the program exits before it listens.
   * @param script File in the folder of this module.
   */
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

  /** Stops the program, which exits when its parent disconnects. */
  async close(): Promise<void> {
    const ended = new Promise(resolve => this.child.once('exit', resolve));
    this.child.disconnect();
    await ended;
  }
}
