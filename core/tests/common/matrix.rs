//! Fault matrix: counts cases and violations, and prints one row per fault and step.

use indexmap::IndexMap;

#[derive(Default)]
struct Row {
    cases: u64,
    violations: Vec<String>,
}

/// Cases of one invariant, by fault and step.
pub struct Matrix {
    invariant: &'static str,
    rows: IndexMap<(String, String), Row>,
}

impl Matrix {
    /// Creates an empty matrix.
    pub fn new(invariant: &'static str) -> Self {
        Self { invariant, rows: IndexMap::new() }
    }

    /// Counts a case and its violation, if any.
    pub fn count(&mut self, fault: impl ToString, step: impl ToString, violation: Option<String>) {
        let row = self.rows.entry((fault.to_string(), step.to_string())).or_default();
        row.cases += 1;
        row.violations.extend(violation);
    }

    /// Prints all rows.
    ///
    /// # Panics
    ///
    /// Panics if any case has a violation.
    pub fn finish(self) {
        let mut first = None;
        for ((fault, step), row) in &self.rows {
            let (cases, violations) = (row.cases, row.violations.len());
            println!("matrix|{}|{fault}|{step}|{cases}|{violations}", self.invariant);
            let found = row.violations.first();
            first = first.or(found.map(|v| format!("{fault} at {step}: {v}")));
        }
        assert!(first.is_none(), "{}: {}", self.invariant, first.unwrap_or_default());
    }
}
