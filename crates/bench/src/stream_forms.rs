//! Costs of learning the form of streams together, at a daemon that adds up the reports of all.

use std::hint::black_box;
use std::time::Duration;

use curlewcleat_core::{
    DaemonId, EventForm, PeerFrame, PeerMessage, SourceTally, StreamFormsReport, StreamSource,
    StreamTally, VersionDigest,
};
use curlewcleat_peers::encode_frame;
use curlewcleat_sched::FleetForms;

use crate::support::{resident, time_each};

/// Sources of streams in use.
const SOURCES: usize = 6;
const FORM: EventForm = EventForm {
    min_data_lines: 1,
    max_data_lines: 1,
    may_end_unnumbered: false,
    must_end_unnumbered: false,
    must_have_type: false,
    may_have_ignored_lines: false,
};

fn daemon(number: u32) -> DaemonId {
    DaemonId { vm: format!("vm-{number}"), incarnation: 1 }
}

/// Returns what a daemon has counted of all sources after this many streams of each.
fn tallies(streams: u64) -> Vec<SourceTally> {
    let mut tally = StreamTally::default();
    (0..streams).for_each(|_| tally.add_regular(FORM, 40));
    let source = |number| StreamSource {
        rule: format!("rule-{number}"),
        pool: "engines".to_string(),
        version: VersionDigest::of(None),
    };
    (0..SOURCES).map(|number| SourceTally { source: source(number), epoch: 0, tally }).collect()
}

/// Measures a report and the memory of all reports by the number of daemons, and the length of a report.
pub fn measure_stream_forms() {
    println!("daemons | one more report of {SOURCES} sources (us) | resident bytes | report bytes");
    for daemons in [6u32, 110, 300, 1_100] {
        let before = resident();
        let mut forms = FleetForms::default();
        let now = Duration::from_secs(10);
        for number in 0..daemons {
            forms.record(now, &daemon(number), tallies(20));
        }
        let bytes = resident().saturating_sub(before);
        let later = tallies(30);
        let each = time_each(daemons, |number| {
            forms.record(now, &daemon(number), later.clone());
            black_box(forms.changes());
        });
        let report = StreamFormsReport { known: 1, tallies: later };
        let messages = vec![PeerMessage::StreamFormsReport(report)];
        let frame = encode_frame(&PeerFrame { from: daemon(1), messages });
        let length = frame.map_or(0, |frame| frame.len());
        println!("{daemons:>7} | {:>8.2} | {bytes:>9} | {length:>6}", each.as_secs_f64() * 1e6);
    }
}
