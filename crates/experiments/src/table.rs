//! Summaries over several seeds, printed tables, JSON output and parallel runs.

use serde::Serialize;
use std::path::Path;

/// Median and range of one figure over several seeds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SeedSpread {
    /// Median of the values.
    pub median: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

/// Returns the median and the range of values; zeros if there are none.
pub fn spread_of(values: &[f64]) -> SeedSpread {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    SeedSpread {
        median: percentile(&sorted, 0.5),
        min: sorted.first().copied().unwrap_or(0.0),
        max: sorted.last().copied().unwrap_or(0.0),
    }
}

/// Returns the value at a share from 0 to 1 of sorted values; zero if there are none.
pub fn percentile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    sorted[((sorted.len() - 1) as f64 * share) as usize]
}

/// Prints a table with columns as wide as their widest cell.
pub fn print_table(heading: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = heading.iter().map(|cell| cell.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let print_row = |cells: &[String]| {
        let line: Vec<String> = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:>width$}"))
            .collect();
        println!("| {} |", line.join(" | "));
    };
    print_row(&heading.iter().map(ToString::to_string).collect::<Vec<_>>());
    let rule: Vec<String> = widths.iter().map(|width| "-".repeat(*width)).collect();
    print_row(&rule);
    for row in rows {
        print_row(row);
    }
}

/// Formats a spread as `median (min-max)`.
pub fn format_spread(spread: &SeedSpread, digits: usize) -> String {
    format!(
        "{:.digits$} ({:.digits$}-{:.digits$})",
        spread.median, spread.min, spread.max
    )
}

/// Writes results to a file as JSON.
pub fn write_json<T: Serialize>(path: &Path, results: &T) -> std::io::Result<()> {
    let text = serde_json::to_string_pretty(results).map_err(std::io::Error::other)?;
    std::fs::write(path, text)
}

/// Runs a function for each job on a few threads; returns the results in the order of the jobs.
pub fn run_jobs<J: Sync, R: Send>(jobs: &[J], run: impl Fn(&J) -> R + Sync) -> Vec<R> {
    /// Threads that run at once; few, because other programs use the machine too.
    const THREADS: usize = 4;
    let next = std::sync::atomic::AtomicUsize::new(0);
    let done = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some(job) = jobs.get(index) else {
                    return;
                };
                let result = run(job);
                if let Ok(mut done) = done.lock() {
                    done.push((index, result));
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_default();
    done.sort_by_key(|&(index, _)| index);
    done.into_iter().map(|(_, result)| result).collect()
}
