//! Parser for the Prometheus text exposition format, version 0.0.4.

use std::collections::BTreeMap;
use std::fmt;

/// One sample of a metric.
#[derive(Debug, Clone, PartialEq)]
pub struct MetricSample {
    /// Name of the metric.
    pub name: String,
    /// Label values by label name, with escape sequences resolved.
    pub labels: BTreeMap<String, String>,
    /// Value, possibly infinite or `NaN`.
    pub value: f64,
}

/// Error for the first line that violates the exposition format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpositionError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Violated rule of the format.
    pub reason: &'static str,
}

impl fmt::Display for ExpositionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "metrics line {}: {}", self.line, self.reason)
    }
}

impl std::error::Error for ExpositionError {}

/// Parses the samples of all metrics. Comments are skipped, timestamps are checked and dropped.
///
/// # Errors
///
/// Returns an error for the first malformed line.
pub fn parse(text: &str) -> Result<Vec<MetricSample>, ExpositionError> {
    let mut samples = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let sample = parse_line(line).map_err(|reason| ExpositionError {
            line: index + 1,
            reason,
        })?;
        samples.push(sample);
    }
    Ok(samples)
}

fn parse_line(line: &str) -> Result<MetricSample, &'static str> {
    let name_end = line.find(|char: char| char == '{' || char.is_whitespace());
    let (name, rest) = line.split_at(name_end.ok_or("missing value")?);
    if !is_valid_name(name) {
        return Err("invalid metric name");
    }
    let (labels, rest) = match rest.strip_prefix('{') {
        Some(rest) => parse_labels(rest)?,
        None => (BTreeMap::new(), rest),
    };
    let mut fields = rest.split_whitespace();
    let value = fields.next().ok_or("missing value")?;
    let value = value.parse().map_err(|_| "value is not a number")?;
    if let Some(timestamp) = fields.next() {
        timestamp
            .parse::<i64>()
            .map_err(|_| "timestamp is not a number")?;
    }
    if fields.next().is_some() {
        return Err("unexpected text after the timestamp");
    }
    Ok(MetricSample {
        name: name.to_owned(),
        labels,
        value,
    })
}

/// Parses labels up to the closing brace and returns them with the text after the brace.
fn parse_labels(text: &str) -> Result<(BTreeMap<String, String>, &str), &'static str> {
    let mut labels = BTreeMap::new();
    let mut rest = text.trim_start();
    loop {
        if let Some(rest) = rest.strip_prefix('}') {
            return Ok((labels, rest));
        }
        let (name, after) = rest.split_once('=').ok_or("label without a value")?;
        let name = name.trim();
        if !is_valid_name(name) {
            return Err("invalid label name");
        }
        let quoted = after
            .trim_start()
            .strip_prefix('"')
            .ok_or("label value is not quoted")?;
        let (value, after) = parse_quoted(quoted)?;
        if labels.insert(name.to_owned(), value).is_some() {
            return Err("duplicate label");
        }
        rest = after.trim_start();
        match rest.strip_prefix(',') {
            Some(after) => rest = after.trim_start(),
            None if rest.starts_with('}') => {}
            None => return Err("labels are not separated by a comma"),
        }
    }
}

/// Parses a quoted value after its opening quote and returns it with the text after the closing quote.
fn parse_quoted(text: &str) -> Result<(String, &str), &'static str> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((index, char)) = chars.next() {
        match char {
            '"' => return Ok((value, &text[index + 1..])),
            '\\' => match chars.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, escaped @ ('\\' | '"'))) => value.push(escaped),
                _ => return Err("unknown escape sequence in a label value"),
            },
            _ => value.push(char),
        }
    }
    Err("unterminated label value")
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"_:".contains(&byte);
    let starts_without_digit = text
        .bytes()
        .next()
        .is_some_and(|byte| !byte.is_ascii_digit());
    starts_without_digit && text.bytes().all(allowed)
}
