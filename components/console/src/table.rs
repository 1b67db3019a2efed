//! Text tables.

use std::fmt;

/// Separator of columns.
const COLUMN_SEPARATOR: &str = "  ";

/// Table with a header, printed in aligned columns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Header and rows, all with the same number of cells.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header and no rows.
    pub fn new(head: &[&str]) -> Table {
        Table { rows: vec![head.iter().map(|text| text.to_string()).collect()] }
    }

    /// Adds a row. Cells beyond the header are dropped, missing ones are empty.
    pub fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        let columns = self.rows[0].len();
        let cells = cells.into_iter().chain(std::iter::repeat(String::new()));
        self.rows.push(cells.take(columns).collect());
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.rows[0].len()).map(|at| self.width(at)).collect();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            let line = cells.collect::<Vec<_>>().join(COLUMN_SEPARATOR);
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
