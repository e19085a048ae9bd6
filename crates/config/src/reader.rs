//! Reads INI texts into sections and takes typed values out of them.
//!
//! Owns: the syntax of INI files and of their values. Relies on: rust-ini.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

use ini::Ini;

use crate::problem::CheckReport;

/// Longest file that is read, in bytes. The platform holds values up to a megabyte.
const FILE_LIMIT: usize = 1_000_000;

/// Added to a ratio in percent before its whole part is taken: 0.29 times 100 is 28.999999999999996. Far below any
/// ratio that a file names, far above the error of a multiplication.
const PERCENT_ERROR: f64 = 1e-6;

/// A parsed file.
#[derive(Debug)]
pub struct IniFile {
    name: String,
    sections: Vec<(String, Vec<(String, String)>)>,
}

impl IniFile {
    /// Parses a text. Faults of form go into the report and give an empty file.
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
                report.add(name, "", "", format!("is not INI: {error}"));
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
                None => report.add(name, "", &pairs[0].0, "stands before the first [section]"),
            }
        }
        file
    }

    /// The sections in the order of the file.
    pub fn sections(&self) -> impl Iterator<Item = IniSection<'_>> {
        self.sections.iter().map(|(title, pairs)| IniSection {
            file: &self.name,
            title,
            pairs,
            used: BTreeSet::new(),
        })
    }
}

/// One section; remembers which keys were asked for, so that unknown ones can be reported.
#[derive(Debug)]
pub struct IniSection<'a> {
    file: &'a str,
    title: &'a str,
    pairs: &'a [(String, String)],
    used: BTreeSet<&'static str>,
}

impl<'a> IniSection<'a> {
    /// File name.
    pub fn file(&self) -> &'a str {
        self.file
    }

    /// The text between the brackets.
    pub fn title(&self) -> &'a str {
        self.title
    }

    /// First word of the title.
    pub fn kind(&self) -> &'a str {
        self.title.split_whitespace().next().unwrap_or("")
    }

    /// Second word of the title, checked as a name.
    pub fn name(&self, report: &mut CheckReport) -> String {
        let mut words = self.title.split_whitespace().skip(1);
        let name = words.next().unwrap_or("").to_string();
        let valid = !name.is_empty()
            && name.len() <= 64
            && name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        if !valid || words.next().is_some() {
            let wanted = format!(
                "[{} NAME] with a name of 1 to 64 letters, digits, '-', '_' or '.'",
                self.kind()
            );
            report.add(self.file, self.title, "", format!("the title should be {wanted}"));
        }
        name
    }

    /// Reports a fault of a key of this section.
    pub fn fault(&self, key: &str, message: impl Into<String>, report: &mut CheckReport) {
        report.add(self.file, self.title, key, message);
    }

    /// An optional text.
    pub fn text(&mut self, key: &'static str) -> Option<String> {
        self.used.insert(key);
        self.pairs.iter().find(|(name, _)| name == key).map(|(_, value)| value.trim().to_string())
    }

    /// A text that has to be there.
    pub fn required(&mut self, key: &'static str, report: &mut CheckReport) -> String {
        match self.text(key) {
            Some(text) if !text.is_empty() => text,
            _ => {
                self.fault(key, "is missing; it must be set", report);
                String::new()
            }
        }
    }

    /// A whole number in a range.
    pub fn number(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
        report: &mut CheckReport,
    ) -> u64 {
        // Why a text is no number does not matter; the fault names the text.
        let parsed = |text: &str| text.parse::<u64>().ok();
        self.parsed_number(key, default, range, "a whole number", parsed, report)
    }

    fn parsed_number(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
        wanted: &str,
        parsed: impl Fn(&str) -> Option<u64>,
        report: &mut CheckReport,
    ) -> u64 {
        let Some(text) = self.text(key) else { return default };
        match parsed(&text) {
            Some(number) if range.contains(&number) => number,
            _ => {
                let (least, most) = (range.start(), range.end());
                let message = format!("'{text}' should be {wanted} from {least} to {most}");
                self.fault(key, message, report);
                default
            }
        }
    }

    /// A limit such as `52` or `33.16`, of which the whole part is kept: a platform may give a fraction, and
    /// a limit that is rounded up would be exceeded.
    pub fn whole_limit(
        &mut self,
        key: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
        report: &mut CheckReport,
    ) -> u64 {
        // As above; an infinite number becomes the largest one, which no range contains.
        let parsed = |text: &str| {
            let number = text.parse::<f64>().ok();
            number.filter(|number| *number >= 0.0).map(|number| number as u64)
        };
        self.parsed_number(key, default, range, "a number", parsed, report)
    }

    /// A time with its unit: `250ms`, `5s`, `10m` or `1h`.
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
                self.fault(
                    key,
                    format!("'{text}' should be a time with a unit, such as 250ms, 5s, 10m or 1h"),
                    report,
                );
                default
            }
        }
    }

    /// A ratio such as `0.2`, in whole percent; what exceeds the last one is left out, so that no limit is
    /// exceeded.
    pub fn percent(&mut self, key: &'static str, default: u64, report: &mut CheckReport) -> u64 {
        let Some(text) = self.text(key) else { return default };
        match text.parse::<f64>() {
            Ok(ratio) if (0.0..=10.0).contains(&ratio) => (ratio * 100.0 + PERCENT_ERROR) as u64,
            _ => {
                self.fault(key, format!("'{text}' should be a ratio such as 0.2"), report);
                default
            }
        }
    }

    /// A number above zero such as `0.5` or `10`, in whole thousandths.
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
                self.fault(key, format!("'{text}' should be a number such as 10 or 0.5"), report);
                default
            }
        }
    }

    /// `yes` or `no`.
    pub fn flag(&mut self, key: &'static str, default: bool, report: &mut CheckReport) -> bool {
        match self.text(key).as_deref() {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(text) => {
                self.fault(key, format!("'{text}' should be yes or no"), report);
                default
            }
        }
    }

    /// An `ip:port`.
    pub fn address(&mut self, key: &'static str, report: &mut CheckReport) -> String {
        let text = self.required(key, report);
        if !text.is_empty() && text.parse::<std::net::SocketAddr>().is_err() {
            self.fault(
                key,
                format!("'{text}' should be an IP number and port, such as 10.0.0.1:9000"),
                report,
            );
        }
        text
    }

    /// Reports unknown and duplicate keys.
    pub fn finish(self, report: &mut CheckReport) {
        let mut seen = BTreeSet::new();
        for (key, _) in self.pairs {
            if !self.used.contains(key.as_str()) {
                let known = self.used.iter().copied().collect::<Vec<_>>().join(", ");
                report.add(
                    self.file,
                    self.title,
                    key,
                    format!("is not known here; known are {known}"),
                );
            }
            if !seen.insert(key) {
                report.add(self.file, self.title, key, "stands twice; keep one");
            }
        }
    }
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
