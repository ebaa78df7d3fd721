/** What a command prints: text for people, or one JSON document with `--json`. */
export class Output {
  constructor(
    private readonly json: boolean,
    private readonly write: (text: string) => void = text =>
      void process.stdout.write(text),
  ) {}

  /** Prints the result of a command. */
  print(data: unknown, text: string): void {
    this.write((this.json ? JSON.stringify(data, null, 2) : text) + '\n');
  }
}
