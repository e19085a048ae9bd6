//! Prints tables on the terminal.

/// Prints a row of titles and the given rows; each column is as wide as its widest cell.
pub fn print(titles: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = titles.iter().map(|title| title.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let titles: Vec<String> = titles.iter().map(|title| title.to_string()).collect();
    for row in std::iter::once(&titles).chain(rows) {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    }
}
