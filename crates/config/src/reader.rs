//! Parses INI files into sections and reads typed values from them.
//!
//! Owns: the syntax of INI files and of their values. Relies on: rust-ini.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use ini::Ini;

use crate::problem::CheckReport;

/// Maximum size of a file in bytes. The platform stores values of up to a megabyte.
const FILE_LIMIT: usize = 1_000_000;

/// Added to a ratio in percent before it is rounded down, as 0.29 * 100 is 28.999999999999996 in floating point. Far
/// smaller than any ratio in a file, far larger than the rounding error of a multiplication.
const PERCENT_ERROR: f64 = 1e-6;

/// Bytes in a megabyte of a size, the unit in which the memory of VMs is given.
const BYTES_PER_MB: u64 = 1 << 20;

/// A parsed INI file.
#[derive(Debug)]
pub struct IniFile {
    name: String,
    sections: Vec<(String, Vec<(String, String)>)>,
}

impl IniFile {
    /// Parses a file. If it is too long or not INI, adds the problem to the report and returns an empty file.
    pub fn parse(name: &str, text: &str, report: &mut CheckReport) -> IniFile {
        let mut file = IniFile { name: name.to_string(), sections: Vec::new() };
        if text.len() > FILE_LIMIT {
            report.add(
                name,
                "",
                "",
                format!("has {} bytes; at most {FILE_LIMIT} are allowed", text.len()),
            );
            return file;
        }
        let ini = match Ini::load_from_str_noescape(text) {
            Ok(ini) => ini,
            Err(error) => {
                report.add(name, "", "", format!("is not a valid INI file: {error}"));
                return file;
            }
        };
        for (section, properties) in ini.iter() {
            let pairs: Vec<(String, String)> = properties
                .iter()
                .map(|(key, value)| (key.to_string(), value.to_string()))
                .collect();
            match section {
                Some(section) => file.sections.push((section.trim().to_string(), pairs)),
                None if pairs.is_empty() => {}
                None => report.add(
                    name,
                    "",
                    &pairs[0].0,
                    "stands before the first [section]; move it below a section title",
                ),
            }
        }
        file
    }

    /// Returns the sections in the order of the file.
    pub fn sections(&self) -> impl Iterator<Item = IniSection<'_>> {
        self.sections.iter().map(|(title, pairs)| IniSection {
            file: &self.name,
            title,
            pairs,
            read_keys: BTreeSet::new(),
        })
    }
}

/// One section. Records which keys were read, so that `finish` can report the unknown ones.
#[derive(Debug)]
pub struct IniSection<'a> {
    file: &'a str,
    title: &'a str,
    pairs: &'a [(String, String)],
    read_keys: BTreeSet<&'static str>,
}

impl<'a> IniSection<'a> {
    /// Returns the file name.
    pub fn file(&self) -> &'a str {
        self.file
    }

    /// Returns the text between the brackets.
    pub fn title(&self) -> &'a str {
        self.title
    }

    /// Returns the first word of the title.
    pub fn kind(&self) -> &'a str {
        self.title.split_whitespace().next().unwrap_or("")
    }

    /// Returns the second word of the title, and reports a problem unless it is a valid name and the last word.
    pub fn name(&self, report: &mut CheckReport) -> String {
        let mut words = self.title.split_whitespace().skip(1);
        let name = words.next().unwrap_or("").to_string();
        let valid = !name.is_empty()
            && name.len() <= 64
            && name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        if !valid || words.next().is_some() {
            let expected = format!(
                "[{} NAME] with a name of 1 to 64 letters, digits, '-', '_' or '.'",
                self.kind()
            );
            report.add(self.file, self.title, "", format!("the title should be {expected}"));
        }
        name
    }

    /// Reports a problem of a key of this section, or of the whole section if the key is empty.
    pub fn report_problem(&self, key: &str, message: impl Into<String>, report: &mut CheckReport) {
        report.add(self.file, self.title, key, message);
    }

    /// Reads an optional text.
    pub fn text(&mut self, key: &'static str) -> Option<String> {
        self.read_keys.insert(key);
        self.pairs.iter().find(|(name, _)| name == key).map(|(_, value)| value.trim().to_string())
    }

    /// Reads a text; reports a problem if it is missing or empty.
    pub fn required(&mut self, key: &'static str, report: &mut CheckReport) -> String {
        match self.text(key) {
            Some(text) if !text.is_empty() => text,
            _ => {
                self.report_problem(key, "is missing; it must be set", report);
                String::new()
            }
        }
    }

    /// Reads a whole number within a range.
    pub fn number(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
        report: &mut CheckReport,
    ) -> u64 {
        // The parser's error is dropped: the reported problem quotes the text and the expected range.
        let parse = |text: &str| text.parse::<u64>().ok();
        self.parse_in_range(key, default, range, "a whole number", parse, report)
    }

    fn parse_in_range(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
        expected: &str,
        parse: impl Fn(&str) -> Option<u64>,
        report: &mut CheckReport,
    ) -> u64 {
        let Some(text) = self.text(key) else { return default };
        match parse(&text) {
            Some(number) if range.contains(&number) => number,
            _ => {
                let (min, max) = (range.start(), range.end());
                let message = format!("'{text}' should be {expected} from {min} to {max}");
                self.report_problem(key, message, report);
                default
            }
        }
    }

    /// Reads a limit such as `52` or `33.16` and rounds it down. A platform may give a fraction, and rounding up would
    /// allow more than the limit.
    pub fn number_rounded_down(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
        report: &mut CheckReport,
    ) -> u64 {
        // Infinity becomes `u64::MAX`, which no range contains.
        let parse = |text: &str| {
            // The parser's error is dropped, as in `number`.
            let number = text.parse::<f64>().ok();
            number.filter(|number| *number >= 0.0).map(|number| number as u64)
        };
        self.parse_in_range(key, default, range, "a number", parse, report)
    }

    /// Reads a duration above zero with its unit: `250ms`, `5s`, `10m` or `1h`.
    pub fn duration(
        &mut self,
        key: &'static str,
        default: Duration,
        report: &mut CheckReport,
    ) -> Duration {
        let Some(text) = self.text(key) else { return default };
        match parse_duration(&text) {
            Some(duration) if !duration.is_zero() => duration,
            _ => {
                self.report_problem(
                    key,
                    format!("'{text}' should be a time with a unit, such as 250ms, 5s, 10m or 1h"),
                    report,
                );
                default
            }
        }
    }

    /// Reads an optional size with its unit, `112MB` or `1.5GB`, of at least `minimum` bytes, and rounds it down.
    pub fn bytes(
        &mut self,
        key: &'static str,
        minimum: u64,
        report: &mut CheckReport,
    ) -> Option<u64> {
        let text = self.text(key)?;
        let bytes = parse_bytes(&text).filter(|bytes| *bytes >= minimum);
        if bytes.is_none() {
            let minimum = minimum / BYTES_PER_MB;
            let message =
                format!("'{text}' should be a size of {minimum}MB or more, such as 112MB or 2GB");
            self.report_problem(key, message, report);
        }
        bytes
    }

    /// Reads a ratio such as `0.2` in percent, rounded down, as rounding up would allow more than the limit.
    pub fn percent(&mut self, key: &'static str, default: u64, report: &mut CheckReport) -> u64 {
        let Some(text) = self.text(key) else { return default };
        match text.parse::<f64>() {
            Ok(ratio) if (0.0..=10.0).contains(&ratio) => (ratio * 100.0 + PERCENT_ERROR) as u64,
            _ => {
                self.report_problem(
                    key,
                    format!("'{text}' should be a ratio such as 0.2, from 0 to 10"),
                    report,
                );
                default
            }
        }
    }

    /// Reads a number above zero such as `0.5` or `10`, in thousandths, rounded to the nearest one.
    pub fn thousandths(
        &mut self,
        key: &'static str,
        default: u64,
        report: &mut CheckReport,
    ) -> u64 {
        let Some(text) = self.text(key) else { return default };
        match text.parse::<f64>() {
            Ok(number) if (0.001..=1e9).contains(&number) => (number * 1_000.0).round() as u64,
            _ => {
                self.report_problem(
                    key,
                    format!(
                        "'{text}' should be a number from 0.001 to 1000000000, such as 10 or 0.5"
                    ),
                    report,
                );
                default
            }
        }
    }

    /// Reads `yes` or `no`.
    pub fn flag(&mut self, key: &'static str, default: bool, report: &mut CheckReport) -> bool {
        match self.text(key).as_deref() {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(text) => {
                self.report_problem(key, format!("'{text}' should be yes or no"), report);
                default
            }
        }
    }

    /// Reads an `ip:port` that must be set.
    pub fn address(&mut self, key: &'static str, report: &mut CheckReport) -> String {
        let text = self.required(key, report);
        if !text.is_empty() && text.parse::<std::net::SocketAddr>().is_err() {
            self.report_problem(
                key,
                format!("'{text}' should be an IP number and port, such as 10.0.0.1:9000"),
                report,
            );
        }
        text
    }

    /// Reports unknown and duplicate keys. Call it after all known keys were read.
    pub fn finish(self, report: &mut CheckReport) {
        let mut seen = BTreeSet::new();
        for (key, _) in self.pairs {
            if !self.read_keys.contains(key.as_str()) {
                let known = self.read_keys.iter().copied().collect::<Vec<_>>().join(", ");
                report.add(
                    self.file,
                    self.title,
                    key,
                    format!("is not known here; known keys are {known}"),
                );
            }
            if !seen.insert(key) {
                report.add(self.file, self.title, key, "is set twice; keep one");
            }
        }
    }
}

fn parse_bytes(text: &str) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (digits, unit) = text.split_at(split);
    let number: f64 = digits.parse().ok()?;
    let bytes_per_unit = match unit.trim() {
        "MB" => BYTES_PER_MB,
        "GB" => BYTES_PER_MB << 10,
        _ => return None,
    };
    Some((number * bytes_per_unit as f64) as u64)
}

fn parse_duration(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (digits, unit) = text.split_at(split);
    let number: f64 = digits.parse().ok()?;
    let seconds_per_unit = match unit.trim() {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(number * seconds_per_unit).ok()
}
