//! A daemon on a small VM before engines that send bytes without end, which are no answer.
//!
//! Load pattern: all engines of a service turn faulty at once, under as many callers as they have slots, beside a client
//! with sound requests to other services.

#[path = "answers_without_end/caller.rs"]
mod caller;
#[path = "answers_without_end/play.rs"]
mod play;
#[path = "answers_without_end/resident_peak.rs"]
mod resident_peak;
#[path = "answers_without_end/sound_load.rs"]
mod sound_load;

mod support;

use std::str::FromStr;

use anyhow::{ensure, Result};
use curlewcleat_standins::fleet::endless_engine::{EndlessForm, EndlessPart};
use rstest::rstest;
use tokio::sync::Mutex;

use play::EndlessPlay;

/// Variable with texts in the names of the forms that are played, separated by commas, or `all`.
const FORMS_VARIABLE: &str = "ENDLESS_FORMS";
/// Variable with the number of callers.
const CALLERS_VARIABLE: &str = "ENDLESS_CALLERS";
/// Variable with the memory limit in megabytes.
const MEMORY_VARIABLE: &str = "ENDLESS_MEMORY_MB";
/// Variable with the routes: `record`, `stream` or `both`.
const ROUTES_VARIABLE: &str = "ENDLESS_ROUTES";
/// Variable that is `1` where callers leave their answers unread.
const UNREAD_VARIABLE: &str = "ENDLESS_UNREAD";
/// Fewest forms of the table.
const MIN_FORMS: usize = 40;

/// Only one play at a time, so that it delays no other.
static PLAYS: Mutex<()> = Mutex::const_new(());

fn variable<T: FromStr>(name: &str, default: T) -> T {
    match std::env::var(name) {
        Ok(text) => text.parse().unwrap_or_else(|_| panic!("{name} is {text}")),
        Err(_) => default,
    }
}

/// Returns the plays of a part; those of one form without variables.
fn plays(part: EndlessPart, default_form: &str, default_route: &str) -> Vec<EndlessPlay> {
    let forms = variable(FORMS_VARIABLE, default_form.to_string());
    let route = variable(ROUTES_VARIABLE, default_route.to_string());
    let chosen = |form: &EndlessForm| {
        form.part == part && forms.split(',').any(|text| text == "all" || form.name.contains(text))
    };
    let play = |(form, streams): (EndlessForm, bool)| EndlessPlay {
        form,
        streams,
        callers: variable(CALLERS_VARIABLE, 50),
        reads: variable(UNREAD_VARIABLE, 0) == 0,
        memory_mb: variable(MEMORY_VARIABLE, 110),
    };
    let forms = EndlessForm::all().into_iter().filter(chosen);
    let both = forms.flat_map(|form| [(form.clone(), false), (form, true)]);
    let routed = both.filter(|(form, streams)| match route.as_str() {
        "record" => !streams && !form.is_for_streams(),
        "stream" => *streams,
        _ => *streams || !form.is_for_streams(),
    });
    routed.map(play).collect()
}

// Answers of faulty engines must not take a daemon's memory from the requests of other clients.
#[rstest]
#[case::head_without_end(EndlessPart::Head, "head-lines-fast", "record")]
#[case::body_without_end(EndlessPart::Body, "body-one-chunk-fast", "stream")]
#[case::framing_without_end(EndlessPart::Framing, "framing-extension-fast", "record")]
#[case::events_without_end(EndlessPart::Events, "events-repeated-fast", "stream")]
#[case::bytes_after_the_end(EndlessPart::AfterEnd, "after-end-noise-fast", "record")]
#[actix_rt::test]
async fn bytes_without_end_outgrow_the_memory(
    #[case] part: EndlessPart,
    #[case] form: &str,
    #[case] route: &str,
) -> Result<()> {
    let _only = PLAYS.lock().await;
    let mut broken = Vec::new();
    for play in plays(part, form, route) {
        let result = play.run().await?;
        println!("{result}");
        if !result.faults().is_empty() {
            broken.push(result.to_string());
        }
    }
    ensure!(broken.is_empty(), "{}", broken.join("\n"));
    Ok(())
}

#[test]
fn table_has_enough_forms_of_different_names() {
    let names: std::collections::BTreeSet<String> =
        EndlessForm::all().into_iter().map(|form| form.name).collect();
    assert_eq!(names.len(), EndlessForm::all().len());
    assert!(names.len() >= MIN_FORMS, "{}", names.len());
}
