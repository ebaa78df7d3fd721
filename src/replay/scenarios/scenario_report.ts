interface ReportTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** Result of a scenario. */
export interface ScenarioReport {
  /** Measures by name; the expected outcomes of the trace are compared with them. */
  readonly measures: Readonly<Record<string, number>>;
  readonly tables: readonly ReportTable[];
}
